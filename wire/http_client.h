// Defines http_client, which calls HTTP/1.1 servers by IP address and keeps
// idle connections, and http_answer_stream, an answer read as it arrives.
#ifndef WIRE_HTTP_CLIENT_H_
#define WIRE_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "wire/http_exchange.h"
#include "wire/transfer.h"

namespace anvilloom {

// Bounds on a client's connections and answers.
struct http_client_limits {
  std::size_t idle_connections_per_server = 64;
  std::size_t answer_bytes = std::size_t{8} * 1024 * 1024;
  // How long a connection is kept whose server does not say for how long it
  // keeps it.
  duration idle_limit = std::chrono::seconds(60);
  // How long a connection may take to come about.
  duration connect_limit = std::chrono::hours(1);
  // Whether connections probe a silent server, so that a cut connection fails
  // within about three seconds instead of at the deadline of its call.
  bool probe_silent = false;
};

// Whether a call may use a connection that was used before. A server may close
// an idle connection just as a request is written to it, which leaves open
// whether the request ran.
enum class connection_use {
  // A pooled connection; if it closes before any byte of an answer, the request
  // is sent once more on a fresh one. For requests that may run twice.
  kPooled,
  // A pooled connection, and the request is sent at most once.
  kPooledOnce,
  kFresh,
};

namespace internal {

class http_connection;
class connection_pool;

}  // namespace internal

// Ends a call from outside, at whatever step it is. Belongs to the thread of
// its call.
class http_call_handle {
 public:
  // Closes the connection of the call, if it has one; the call then fails with
  // kClosed. A call that begins afterwards fails at once.
  void Cancel();
  bool cancelled() const { return cancelled_; }

 private:
  friend class http_client;
  friend class http_answer_stream;

  internal::http_connection* connection_ = nullptr;
  bool cancelled_ = false;
};

// An answer whose body is read piece by piece. Destroying it before the end
// closes the connection, which tells the server to stop.
class http_answer_stream {
 public:
  http_answer_stream(std::unique_ptr<internal::http_connection> connection,
                     std::shared_ptr<internal::connection_pool> pool);
  ~http_answer_stream();
  http_answer_stream(const http_answer_stream&) = delete;
  http_answer_stream& operator=(const http_answer_stream&) = delete;

  http_status status() const;
  // The value of an answer header, or an empty view.
  std::string_view Header(std::string_view name) const;

  // The next bytes of the body; an empty view at its end. The view is valid
  // until the next call.
  awaitable<transfer_result<std::string_view>> ReadSome(deadline until);

  // Reads the rest of this answer and then the header of the one that follows
  // on the same connection. For servers that may send an answer that belongs to
  // an earlier request.
  awaitable<transfer_result<void>> ReadNextAnswer(deadline until);

  // Whether the end of the body shows only in the end of the connection.
  bool EndIsUnmarked() const;

  // All headers of the answer.
  const boost::beast::http::fields& fields() const;

  // Keeps the connection from being used again.
  void Discard() { discarded_ = true; }

  // Closes the connection; a pending ReadSome() fails with kClosed.
  void Close();

 private:
  friend class http_client;

  std::unique_ptr<internal::http_connection> connection_;
  std::shared_ptr<internal::connection_pool> pool_;
  http_call_handle* handle_ = nullptr;
  std::size_t body_limit_ = 0;
  bool discarded_ = false;
};

// Not thread-safe: one client for each io_context.
class http_client {
 public:
  explicit http_client(boost::asio::any_io_executor executor,
                       const http_client_limits& limits = {});

  // Sends `request` to `address` and reads the whole answer. An answer that
  // ends before its announced length, is followed by further bytes or gives no
  // length fails, since it may have been cut. With kPooled, a
  // request whose reused connection closes before any byte of an answer is
  // sent once more on a fresh one. If the first byte has not left before
  // `send_by`, nothing is sent and the call fails with `sent` false.
  awaitable<transfer_result<http_response>> Exchange(
      std::string_view address,
      http_request request,
      deadline until,
      connection_use use = connection_use::kPooled,
      deadline send_by = deadline::Never());

  // Sends `request` and returns once the header of the answer has arrived.
  // `handle`, if given, must live until the stream is destroyed.
  awaitable<transfer_result<std::unique_ptr<http_answer_stream>>> Open(
      std::string_view address,
      http_request request,
      deadline until,
      connection_use use = connection_use::kPooled,
      http_call_handle* handle = nullptr);

 private:
  awaitable<transfer_result<std::unique_ptr<internal::http_connection>>>
  Connect(std::string_view address, deadline until, http_call_handle* handle);
  awaitable<transfer_result<std::unique_ptr<internal::http_connection>>>
  SendAndReadHeader(std::string_view address,
                    http_request& request,
                    deadline until,
                    connection_use use,
                    deadline send_by = deadline::Never(),
                    http_call_handle* handle = nullptr);

  boost::asio::any_io_executor executor_;
  http_client_limits limits_;
  std::shared_ptr<internal::connection_pool> pool_;
};

// A request with its Host and Content-Type headers set. `body` may be empty.
http_request MakeRequest(boost::beast::http::verb method,
                         std::string_view target,
                         std::string_view body = {},
                         std::string_view content_type = "application/json");

}  // namespace anvilloom

#endif  // WIRE_HTTP_CLIENT_H_
