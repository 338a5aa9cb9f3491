// Defines http_client, which sends requests to HTTP/1.1 servers by IP address
// and pools idle connections, and http_response_stream, a response whose body
// is read incrementally.
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
#include "wire/http_request_view.h"
#include "wire/memory_account.h"
#include "wire/transfer.h"

namespace anvilloom {

// Limits on a client's connections and responses.
struct http_client_limits {
  std::size_t idle_connections_per_server = 64;
  std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
  // Idle time after which a pooled connection is no longer reused, unless the
  // server sends its own timeout in a Keep-Alive header.
  duration idle_timeout = std::chrono::seconds(60);
  // Maximum time to establish a connection; the deadline of the call applies as
  // well.
  duration connect_timeout = std::chrono::hours(1);
  // Whether TCP keep-alive probes are sent, so that a broken connection fails
  // within about three seconds instead of at the deadline of its call.
  bool tcp_keep_alive = false;
};

// Whether a call may reuse a pooled connection. A server may close an idle
// connection while a request is being written to it; it is then unknown whether
// the request ran.
enum class connection_use {
  // Reuses a pooled connection; if it closes before any byte of a response, the
  // request is retried once on a new connection. For requests that may safely
  // run twice.
  kPooled,
  // Reuses a pooled connection and sends the request at most once.
  kPooledOnce,
  kFresh,
};

namespace internal {

class http_connection;
class connection_pool;

}  // namespace internal

// Cancels a call from outside its coroutine, at any step. Must be used on the
// thread of the call.
class http_call_handle {
 public:
  // Closes the connection of the call, if it has one; the call then fails with
  // kClosed. A call that starts after Cancel() fails immediately.
  void Cancel();
  bool cancelled() const { return cancelled_; }

 private:
  friend class http_client;
  friend class http_response_stream;

  internal::http_connection* connection_ = nullptr;
  bool cancelled_ = false;
};

// A response whose body is read incrementally. Destroying it before the end of
// the body closes the connection, which signals the server to stop. Not
// thread-safe.
class http_response_stream {
 public:
  http_response_stream(std::unique_ptr<internal::http_connection> connection,
                       std::shared_ptr<internal::connection_pool> pool);
  ~http_response_stream();
  http_response_stream(const http_response_stream&) = delete;
  http_response_stream& operator=(const http_response_stream&) = delete;

  http_status status() const;
  // Returns the value of a response header, or an empty view.
  std::string_view Header(std::string_view name) const;

  // Reads the next bytes of the body; returns an empty view at its end. The
  // view is valid until the next call.
  awaitable<transfer_result<std::string_view>> ReadSome(deadline until);

  // Reads the rest of this response and then the header of the next one on the
  // same connection. For servers that may first send the response to an earlier
  // request.
  awaitable<transfer_result<void>> ReadNextResponse(deadline until);

  // Whether the body is delimited only by the close of the connection.
  bool IsCloseDelimited() const;

  // Whether the connection has carried an earlier request.
  bool IsOnReusedConnection() const;

  // All headers of the response.
  const boost::beast::http::fields& fields() const;

  // Prevents the connection from being reused.
  void DisableReuse() { reuse_disabled_ = true; }

  // Closes the connection; a pending ReadSome() fails with kClosed.
  void Close();

 private:
  friend class http_client;

  std::unique_ptr<internal::http_connection> connection_;
  std::shared_ptr<internal::connection_pool> pool_;
  http_call_handle* handle_ = nullptr;
  bool reuse_disabled_ = false;
};

// Not thread-safe; use one client per io_context.
class http_client {
 public:
  explicit http_client(boost::asio::any_io_executor executor,
                       const http_client_limits& limits = {});

  // Sends `request` to `address` and reads the complete response. Fails if the
  // response is shorter than its announced length, is followed by further bytes
  // or has no length, since it may be truncated. With kPooled, a request whose
  // reused connection closes before any byte of a response is retried once on a
  // new connection. If no byte has been sent before `send_by`, nothing is sent
  // and the call fails with `sent` false.
  awaitable<transfer_result<http_response>> Exchange(
      std::string_view address,
      http_request request,
      deadline until,
      connection_use use = connection_use::kPooled,
      deadline send_by = deadline::Never());
  // Same for a request whose body must stay in place until the call returns.
  // Fails with kTooLarge if `memory` has no room for the body of the response,
  // which it counts until it is resized or destroyed.
  awaitable<transfer_result<http_response>> Exchange(
      std::string_view address,
      http_request_view request,
      answer_share& memory,
      deadline until,
      connection_use use = connection_use::kPooled,
      deadline send_by = deadline::Never());

  // Sends `request` and returns once the response header has arrived, after any
  // interim responses (1xx), which are skipped. `handle`, if given, must
  // outlive the stream.
  awaitable<transfer_result<std::unique_ptr<http_response_stream>>> Open(
      std::string_view address,
      http_request request,
      deadline until,
      connection_use use = connection_use::kPooled,
      http_call_handle* handle = nullptr);
  // Same for a request whose body must stay in place until the call returns.
  awaitable<transfer_result<std::unique_ptr<http_response_stream>>> Open(
      std::string_view address,
      http_request_view request,
      deadline until,
      connection_use use = connection_use::kPooled,
      http_call_handle* handle = nullptr);

 private:
  awaitable<transfer_result<std::unique_ptr<internal::http_connection>>>
  Connect(std::string_view address, deadline until, http_call_handle* handle);
  awaitable<transfer_result<std::unique_ptr<internal::http_connection>>>
  SendAndReadHeader(std::string_view address,
                    http_request_view& request,
                    deadline until,
                    connection_use use,
                    deadline send_by = deadline::Never(),
                    http_call_handle* handle = nullptr);
  // `memory` is null if the response is not counted.
  awaitable<transfer_result<http_response>> ExchangeView(
      std::string_view address,
      http_request_view& request,
      answer_share* memory,
      deadline until,
      connection_use use,
      deadline send_by);

  boost::asio::any_io_executor executor_;
  http_client_limits limits_;
  std::shared_ptr<internal::connection_pool> pool_;
};

// Creates a request with a Host header and, unless `body` is empty, a
// Content-Type header.
http_request MakeRequest(boost::beast::http::verb method,
                         std::string_view target,
                         std::string_view body = {},
                         std::string_view content_type = "application/json");
// Same without a copy of the body.
http_request_view MakeRequestView(boost::beast::http::verb method,
                                  std::string_view target,
                                  std::string_view body,
                                  std::string_view content_type);

}  // namespace anvilloom

#endif  // WIRE_HTTP_CLIENT_H_
