// Defines blocking HTTP/1.1 over TCP for the stand-ins of the review scripts:
// one thread serves one connection.
#ifndef REVIEW_SUPPORT_2_NET_H_
#define REVIEW_SUPPORT_2_NET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

// Names in lower case.
using header_map = std::map<std::string, std::string>;

struct http_head {
  // The request line or the status line.
  std::string first_line;
  header_map headers;

  std::string Header(const std::string& name) const;
};

// A buffered connection. Not thread-safe.
class connection {
 public:
  explicit connection(int socket) : socket_(socket) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Returns nothing once the peer has closed, or after the time-out.
  std::optional<http_head> ReadHead();
  std::optional<std::string> ReadBody(std::size_t size);
  // Appends a body with chunks; false if it ends early.
  bool ReadChunks(std::string& body);
  bool Write(std::string_view bytes);
  // Whether the peer has closed or reset the connection.
  bool IsClosedByPeer() const;
  void SetReadTimeout(int milliseconds) const;
  int socket() const { return socket_; }

 private:
  bool Fill();

  int socket_;
  std::string buffer_;
};

struct request {
  std::string method;
  std::string target;
  header_map headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Path() const { return target.substr(0, target.find('?')); }
  std::string Query(std::string_view name) const;
};

// Reads a request with a length, with chunks or without a body.
std::optional<request> ReadRequest(connection& from);

// Formats a complete answer. `headers` are whole lines.
std::string FormatAnswer(std::string_view status,
                         std::string_view headers,
                         std::string_view body);

// Listens on HOST:PORT and calls `serve` for each connection in a thread of its
// own; never returns.
[[noreturn]] void Serve(
    const std::string& address,
    const std::function<void(connection&, const std::string&)>& serve);

// Returns a connected socket, or -1.
int Connect(const std::string& address);

// Milliseconds of the monotonic clock, and of the wall clock.
std::int64_t SteadyMs();

// Writes a line to standard output with one call.
void PrintLine(const std::string& line);

// Options of the form --name value.
class options {
 public:
  options(int argc, char** argv);
  std::string Text(const std::string& name, const std::string& fallback) const;
  int Number(const std::string& name, int fallback) const;

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_2_NET_H_
