#include "wire/http_exchange.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "wire/http_text.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);
constexpr unsigned kHttp11 = 11;

std::string_view ToStd(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

template <typename Response>
void SetHeaders(Response& response,
                std::string_view content_type,
                std::span<const http_header> headers) {
  if (!content_type.empty()) {
    response.set(http::field::content_type, content_type);
  }
  for (const http_header& header : headers) {
    response.set(header.name, header.value);
  }
}

}  // namespace

http_exchange::http_exchange(boost::beast::tcp_stream& stream,
                             http_request request,
                             const http_server_limits& limits,
                             request_share memory)
    : stream_(stream),
      memory_(std::move(memory)),
      request_(std::move(request)),
      limits_(limits) {}

request_share http_exchange::ReleaseBody() {
  request_.body() = std::string();
  return std::move(memory_);
}

// Shared with the pending wait, which may complete after the exchange is
// destroyed.
struct http_exchange::client_watch {
  std::function<void()> on_disconnect;
  bool ended = false;
};

http_exchange::~http_exchange() {
  UnwatchClient();
}

void http_exchange::UnwatchClient() {
  if (watch_ && !watch_->ended) {
    watch_->ended = true;
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
  }
}

void http_exchange::WatchClient(std::function<void()> on_disconnect) {
  watch_ = std::make_shared<client_watch>();
  watch_->on_disconnect = std::move(on_disconnect);
  stream_.socket().async_wait(
      net::socket_base::wait_read,
      [this, watch = watch_](const boost::system::error_code& error) {
        if (watch->ended) {
          return;  // The exchange may already be destroyed.
        }
        watch->ended = true;
        char next = 0;
        const bool readable =
            !error && ::recv(stream_.socket().native_handle(), &next, 1,
                             MSG_PEEK | MSG_DONTWAIT) > 0;
        if (!readable) {
          watch->on_disconnect();
        }
      });
}

std::string_view http_exchange::target() const {
  return ToStd(request_.target());
}

std::string_view http_exchange::path() const {
  return target().substr(0, target().find('?'));
}

std::string http_exchange::Query(std::string_view name) const {
  const std::size_t query_start = target().find('?');
  if (query_start == std::string_view::npos) {
    return {};
  }
  std::string_view rest = target().substr(query_start + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return DecodeQueryText(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(end + 1);
  }
  return {};
}

std::string_view http_exchange::Header(std::string_view name) const {
  const auto found = request_.find(name);
  return found == request_.end() ? std::string_view{} : ToStd(found->value());
}

std::optional<std::string_view> http_exchange::BearerToken() const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view authorization = Header("Authorization");
  if (!authorization.starts_with(kScheme)) {
    return std::nullopt;
  }
  return authorization.substr(kScheme.size());
}

awaitable<bool> http_exchange::Respond(http_status status,
                                       std::string_view content_type,
                                       std::string_view body,
                                       std::span<const http_header> headers) {
  responded_ = true;
  // Views the body: a copy would double the memory of each large answer.
  http::response<http::span_body<const char>> response(status,
                                                       request_.version());
  SetHeaders(response, content_type, headers);
  response.keep_alive(request_.keep_alive() && !close_after_response_);
  response.body() = {body.data(), body.size()};
  response.prepare_payload();
  stream_.expires_after(limits_.write_timeout);
  if (request_.method() == http::verb::head) {
    http::response_serializer<http::span_body<const char>> serializer(response);
    const auto [error, bytes] =
        co_await http::async_write_header(stream_, serializer, kAwaitTuple);
    co_return RecordWrite(!error);
  }
  const auto [error, bytes] =
      co_await http::async_write(stream_, response, kAwaitTuple);
  co_return RecordWrite(!error);
}

awaitable<bool> http_exchange::BeginStream(
    http_status status,
    std::string_view content_type,
    std::span<const http_header> headers) {
  responded_ = true;
  streaming_ = true;
  http::response<http::empty_body> response(status, request_.version());
  SetHeaders(response, content_type, headers);
  // HTTP/1.0 has no chunks; the end of the connection ends the body there.
  unframed_ = request_.version() < kHttp11;
  close_after_response_ = close_after_response_ || unframed_;
  response.keep_alive(request_.keep_alive() && !close_after_response_);
  response.chunked(!unframed_);
  http::response_serializer<http::empty_body> serializer(response);
  stream_.expires_after(limits_.write_timeout);
  const auto [error, bytes] =
      co_await http::async_write_header(stream_, serializer, kAwaitTuple);
  co_return RecordWrite(!error);
}

awaitable<bool> http_exchange::WriteChunk(std::string_view bytes) {
  if (bytes.empty()) {
    co_return !broken_;  // An empty chunk would terminate the stream.
  }
  if (unframed_) {
    co_return co_await WriteRaw(bytes);
  }
  stream_.expires_after(limits_.write_timeout);
  const auto [error, written] = co_await net::async_write(
      stream_, http::make_chunk(net::buffer(bytes)), kAwaitTuple);
  co_return RecordWrite(!error);
}

awaitable<bool> http_exchange::EndStream() {
  if (unframed_) {
    streaming_ = false;
    co_return !broken_;
  }
  stream_.expires_after(limits_.write_timeout);
  const auto [error, written] =
      co_await net::async_write(stream_, http::make_chunk_last(), kAwaitTuple);
  streaming_ = false;
  co_return RecordWrite(!error);
}

awaitable<bool> http_exchange::WriteRaw(std::string_view bytes) {
  responded_ = true;
  stream_.expires_after(limits_.write_timeout);
  const auto [error, written] = co_await net::async_write(
      stream_, net::buffer(bytes.data(), bytes.size()), kAwaitTuple);
  co_return RecordWrite(!error);
}

void http_exchange::Abort() {
  if (streaming_ && unframed_) {
    // A plain close would make the body look complete, a reset does not.
    boost::system::error_code ignored;
    stream_.socket().set_option(net::socket_base::linger(true, 0), ignored);
  }
  responded_ = true;
  broken_ = true;
  stream_.close();
}

bool http_exchange::reusable() const {
  return !broken_ && !streaming_ && !close_after_response_ &&
         request_.keep_alive();
}

bool http_exchange::RecordWrite(bool written) {
  broken_ = broken_ || !written;
  return written;
}

}  // namespace anvilloom
