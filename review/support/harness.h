// Helpers for the review cases: child processes, a blocking HTTP/1.1 client, a
// model of a sound engine, and a small deployment of gateways. Loopback only.
#ifndef REVIEW_SUPPORT_HARNESS_H_
#define REVIEW_SUPPORT_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using milliseconds = std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Whether the case runs with its disruption.
bool WithTrouble();

// Writes lines with the time since its construction to record.txt. Thread-safe.
class record {
 public:
  explicit record(const std::string& folder);
  void Write(std::string_view line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  steady_clock::time_point start_ = steady_clock::now();
};

// A program that is started as its own process and killed at the end.
class child {
 public:
  // `max_files`, unless 0, limits the file descriptors of the process.
  child(const std::vector<std::string>& arguments,
        const std::string& output_path,
        const std::map<std::string, std::string>& environment = {},
        std::size_t max_files = 0);
  ~child();
  child(const child&) = delete;
  child& operator=(const child&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Whether the process still runs.
  bool Running();
  // How the process ended, for the record.
  std::string EndText() const;
  std::string Output() const;

 private:
  pid_t pid_ = -1;
  bool running_ = false;
  int status_ = 0;
  std::string output_path_;
};

// A TCP connection to a loopback port. Calls block until their time limit.
class connection {
 public:
  explicit connection(std::uint16_t port);
  explicit connection(int accepted) : socket_(accepted) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool ok() const { return socket_ >= 0; }
  bool Send(std::string_view bytes) const;
  // Reads until the buffer contains `text`; false at the end of the connection
  // or the time limit.
  bool ReadUntil(std::string_view text, milliseconds limit);
  bool ReadBytes(std::size_t count, milliseconds limit);
  // Reads until the peer closes the connection; false if it does not in time.
  bool ReadToEnd(milliseconds limit);
  std::string& buffer() { return buffer_; }
  void Close();
  // Resets the connection in place of an orderly close.
  void Reset();

 private:
  // Returns the number of bytes read, 0 at the end, -1 at the time limit.
  long Fill(steady_clock::time_point until);

  int socket_ = -1;
  std::string buffer_;
};

struct message {
  std::string first_line;
  // Names in lower case.
  std::multimap<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  int Status() const;
};

// Reads one message, whose body has a length or chunks. False if it does not
// arrive completely.
bool ReadMessage(connection& from, message& into, milliseconds limit);

// Sends a request on a new connection; status 0 if there was no answer.
message Exchange(std::uint16_t port,
                 std::string_view request,
                 milliseconds limit);

// A listening socket on a free loopback port.
class listener {
 public:
  listener();
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  std::uint16_t port() const { return port_; }
  // Returns an accepted socket, or -1 after a while or once stopped.
  int Accept() const;

 private:
  int socket_ = -1;
  std::uint16_t port_ = 0;
};

// A sound engine: runs each request that is meant for it once and answers with
// its request id, a signature and a whole body. Records what it runs.
class engine {
 public:
  // `answer` may replace the default handling of a request that runs; it sends
  // the answer itself and returns false to close the connection.
  using handler = std::function<bool(const message&, connection&)>;

  engine(std::string id, record& log, handler answer = {});
  ~engine();
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  const std::string& id() const { return id_; }
  std::uint16_t port() const { return listener_.port(); }
  std::vector<message> Runs();

 private:
  void Accept();
  void Serve(int socket);
  bool Answer(const message& request, connection& caller);

  std::string id_;
  record& log_;
  handler answer_;
  listener listener_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<message> runs_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// The whole answer of an engine to a request.
std::string AnswerText(const std::string& engine_id,
                       const message& request,
                       std::string_view body);

// Ports of a gateway.
struct gateway_ports {
  std::uint16_t callers = 0;
  std::uint16_t ready = 0;
  std::uint16_t admin = 0;
};

// The platform's stand-in and any number of gateways.
class deployment {
 public:
  explicit deployment(record& log);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  std::uint16_t store_port() const { return store_port_; }
  void Put(std::string_view kind, std::string_view name, std::string_view spec);
  void Announce(const engine& member,
                std::string_view service,
                std::string_view state = "ready");
  void Withdraw(const engine& member);
  // Starts a gateway with the command of the deploy file and the limit on file
  // descriptors of an `edge` machine.
  bool StartGateway(const std::string& name, std::uint16_t store_port = 0);
  bool AwaitReady(const std::string& name, milliseconds limit) const;
  bool AwaitUpstreams(const std::string& name, std::size_t count) const;
  child& process(const std::string& name) { return *processes_.at(name); }
  const gateway_ports& ports(const std::string& name) const {
    return ports_.at(name);
  }

 private:
  record& log_;
  std::string folder_;
  std::uint16_t store_port_ = 0;
  std::map<std::string, std::unique_ptr<child>> processes_;
  std::map<std::string, gateway_ports> ports_;
};

// A manifest with host "a.example", key "key-1" of tenant "studio", and the
// routes /once/ (non_idempotent) and /safe/ (idempotent) to service "desk".
std::string Manifest(unsigned version);

// Returns a request to the host of Manifest() with its key.
std::string Request(std::string_view method,
                    std::string_view path,
                    std::string_view id,
                    std::string_view more_headers,
                    std::string_view body);

}  // namespace review

#endif  // REVIEW_SUPPORT_HARNESS_H_
