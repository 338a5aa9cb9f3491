// Defines http_exchange, a request received on an HTTP/1.1 connection and the
// response to it, sent complete or as a stream.
#ifndef WIRE_HTTP_EXCHANGE_H_
#define WIRE_HTTP_EXCHANGE_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "common/time.h"
#include "wire/memory_account.h"
#include "wire/transfer.h"

namespace anvilloom {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using http_status = boost::beast::http::status;

// A header of a response.
struct http_header {
  std::string_view name;
  std::string_view value;
};

// Limits on what a server accepts from clients.
struct http_server_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  std::size_t connections = 4096;
  // Maximum wait for the next request on an open connection.
  duration idle_timeout = std::chrono::seconds(75);
  // Maximum time from the first byte of a request to its last.
  duration read_timeout = std::chrono::seconds(20);
  // Maximum time for one write to a client.
  duration write_timeout = std::chrono::seconds(20);
};

// Handles a single request. Every write returns false once the client has
// disconnected; nothing must be written after that. Not thread-safe.
class http_exchange {
 public:
  http_exchange(boost::beast::tcp_stream& stream,
                http_request request,
                const http_server_limits& limits,
                request_share memory = request_share());
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  const http_request& request() const { return request_; }
  // Frees the body of the request and returns the share of the memory that the
  // request has held, for a handler that keeps a part of it.
  request_share ReleaseBody();
  std::string_view target() const;
  // The target without the query.
  std::string_view path() const;
  // Returns the decoded value of a query parameter, or an empty text.
  std::string Query(std::string_view name) const;
  // Returns the value of a request header, or an empty view.
  std::string_view Header(std::string_view name) const;
  // Returns the token of an Authorization header with the scheme "Bearer", or
  // nullopt.
  std::optional<std::string_view> BearerToken() const;

  // Sends a response with a complete body.
  awaitable<bool> Respond(http_status status,
                          std::string_view content_type,
                          std::string_view body,
                          std::span<const http_header> headers = {});

  // Starts a response with a body of unknown length: chunked, or up to the end
  // of the connection for a client of HTTP/1.0.
  awaitable<bool> BeginStream(http_status status,
                              std::string_view content_type,
                              std::span<const http_header> headers = {});
  awaitable<bool> WriteChunk(std::string_view bytes);
  awaitable<bool> EndStream();

  // Writes raw bytes in place of a response. Stand-ins use this to send invalid
  // responses.
  awaitable<bool> WriteRaw(std::string_view bytes);

  // Closes the connection without a response or in the middle of one. Stand-ins
  // use this to drop a response.
  void Abort();

  // Calls `on_disconnect` once, on the thread of the exchange, when the client
  // closes the connection. Watching ends with the exchange, or when the client
  // sends a further request: while its bytes are unread, a disconnect cannot be
  // detected.
  void WatchClient(std::function<void()> on_disconnect);

  // Stops WatchClient(); `on_disconnect` is not called afterwards.
  void UnwatchClient();

  bool responded() const { return responded_; }
  // Whether the connection can be reused for another request.
  bool reusable() const;
  // Closes the connection once this request is answered.
  void CloseAfterResponse() { close_after_response_ = true; }

 private:
  struct client_watch;

  bool RecordWrite(bool written);

  boost::beast::tcp_stream& stream_;
  // The memory of the request, held until it has been answered.
  request_share memory_;
  http_request request_;
  http_server_limits limits_;
  bool responded_ = false;
  bool streaming_ = false;
  // Whether the body of the stream ends with the connection.
  bool unframed_ = false;
  bool broken_ = false;
  bool close_after_response_ = false;
  std::shared_ptr<client_watch> watch_;
};

}  // namespace anvilloom

#endif  // WIRE_HTTP_EXCHANGE_H_
