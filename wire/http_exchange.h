// Defines http_exchange, one request of an HTTP/1.1 connection and the means
// to answer it, whole or as a stream.
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
#include "wire/transfer.h"

namespace anvilloom {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using http_status = boost::beast::http::status;

// A response header.
struct http_header {
  std::string_view name;
  std::string_view value;
};

// Bounds on what a server accepts from a client.
struct http_server_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  std::size_t connections = 4096;
  // Longest wait for the next request on an open connection.
  duration idle_limit = std::chrono::seconds(75);
  // Longest time for a request to arrive once it has begun.
  duration read_limit = std::chrono::seconds(20);
  // Longest time for a client to take one write.
  duration write_limit = std::chrono::seconds(20);
};

// Lives for one request. Every write returns false once the client is gone;
// the exchange must not be used for writing after that.
class http_exchange {
 public:
  http_exchange(boost::beast::tcp_stream& stream,
                http_request request,
                const http_server_limits& limits);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  const http_request& request() const { return request_; }
  std::string_view target() const;
  // The path of the target, without the query.
  std::string_view path() const;
  // The value of a query parameter, or an empty view. Not percent-decoded.
  std::string_view Query(std::string_view name) const;
  // The value of a request header, or an empty view.
  std::string_view Header(std::string_view name) const;
  // The token of an Authorization header of the scheme "Bearer"; nothing if
  // there is none.
  std::optional<std::string_view> BearerToken() const;

  // Answers with a whole body.
  awaitable<bool> Respond(http_status status,
                          std::string_view content_type,
                          std::string_view body,
                          std::span<const http_header> headers = {});

  // Answers with a chunked body of unknown length.
  awaitable<bool> BeginStream(http_status status,
                              std::string_view content_type,
                              std::span<const http_header> headers = {});
  awaitable<bool> WriteChunk(std::string_view bytes);
  awaitable<bool> EndStream();

  // Writes bytes in place of an answer, as they are. Stand-ins use it for
  // answers that are not valid.
  awaitable<bool> WriteRaw(std::string_view bytes);

  // Closes the connection without an answer, or in the middle of one. Stand-ins
  // use it to lose an answer.
  void Abort();

  // Calls `gone` once when the client closes the connection, on the thread of
  // the exchange. Ends with the exchange, or when the client has sent a further
  // request: its end can't be seen behind that.
  void WatchClient(std::function<void()> gone);

  // `gone` is not called any more.
  void UnwatchClient();

  bool responded() const { return responded_; }
  // Whether the connection can carry another request.
  bool reusable() const;
  // Closes the connection after this request.
  void CloseAfter() { close_after_ = true; }

 private:
  struct client_watch;

  bool Note(bool written);

  boost::beast::tcp_stream& stream_;
  http_request request_;
  http_server_limits limits_;
  bool responded_ = false;
  bool streaming_ = false;
  bool broken_ = false;
  bool close_after_ = false;
  std::shared_ptr<client_watch> watch_;
};

}  // namespace anvilloom

#endif  // WIRE_HTTP_EXCHANGE_H_
