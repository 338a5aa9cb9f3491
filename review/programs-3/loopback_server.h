// Defines loopback_server, an HTTP/1.1 server for stand-ins, with one thread
// for each connection.
#ifndef REVIEW_PROGRAMS_3_LOOPBACK_SERVER_H_
#define REVIEW_PROGRAMS_3_LOOPBACK_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace review {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

// Listens on a free port of 127.0.0.1 from its construction on. Never
// destroyed: the program ends with its threads.
class loopback_server {
 public:
  // Returns the answer, or nothing to close the connection without one.
  using handler = std::function<std::optional<http_response>(http_request&)>;

  explicit loopback_server(handler handle);

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Closes all connections, and new ones until it is no longer away.
  void SetAway(bool away);

 private:
  using tcp = boost::asio::ip::tcp;

  void Accept();
  void Serve(const std::shared_ptr<tcp::socket>& socket);
  bool Add(const std::shared_ptr<tcp::socket>& socket);
  void Remove(const std::shared_ptr<tcp::socket>& socket);

  handler handle_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::mutex mutex_;
  bool away_ = false;
  std::set<std::shared_ptr<tcp::socket>> open_;
};

// Returns the value of a header, empty if it is missing.
std::string HeaderOf(const http_request& request, const std::string& name);

// Returns an answer with a body.
http_response MakeAnswer(const http_request& request,
                         unsigned status,
                         std::string body = {});

}  // namespace review

#endif  // REVIEW_PROGRAMS_3_LOOPBACK_SERVER_H_
