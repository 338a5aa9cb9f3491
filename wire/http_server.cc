#include "wire/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "wire/endpoint.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);

// Pause after a failed accept, so that running out of file descriptors does
// not keep the thread busy.
constexpr std::chrono::milliseconds kAcceptPause{50};

tcp::endpoint EndpointOrThrow(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    throw boost::system::system_error(net::error::invalid_argument,
                                      "The listen address is not valid");
  }
  return *endpoint;
}

// The status for a request that could not be read, or nothing when there is
// no one left to tell.
std::optional<http_status> StatusFor(const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    return http_status::request_header_fields_too_large;
  }
  if (error == http::error::body_limit) {
    return http_status::payload_too_large;
  }
  if (error == boost::beast::error::timeout) {
    return http_status::request_timeout;
  }
  const bool gone = error == http::error::end_of_stream ||
                    error == http::error::partial_message ||
                    error.category() == net::error::get_system_category();
  if (gone) {
    return std::nullopt;
  }
  return http_status::bad_request;
}

awaitable<void> RefuseRequest(boost::beast::tcp_stream& stream,
                              const boost::system::error_code& error,
                              const http_server_limits& limits) {
  const std::optional<http_status> status = StatusFor(error);
  if (!status) {
    co_return;
  }
  http_exchange exchange(stream, http_request(http::verb::get, "/", 11),
                         limits);
  exchange.CloseAfter();
  co_await exchange.Respond(
      *status, "application/json",
      R"({"error":{"code":"malformed_request","outcome":"not_run",)"
      R"("message":"The request could not be read."}})");
}

}  // namespace

http_server::http_server(io_pool& pool,
                         std::string_view address,
                         const http_server_limits& limits,
                         internal::handler_function handler)
    : pool_(pool),
      limits_(limits),
      handler_(std::move(handler)),
      acceptor_(pool.context(0), EndpointOrThrow(address)),
      port_(acceptor_.local_endpoint().port()) {
  net::co_spawn(pool.context(0), Accept(), net::detached);
}

void http_server::Close() {
  closing_.store(true, std::memory_order_relaxed);
  net::post(pool_.context(0), [this] {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  });
}

awaitable<void> http_server::Accept() {
  net::steady_timer pause(pool_.context(0));
  while (!closing_.load(std::memory_order_relaxed)) {
    const std::size_t thread = pool_.NextIndex();
    auto [error, socket] =
        co_await acceptor_.async_accept(pool_.context(thread), kAwaitTuple);
    if (error == net::error::operation_aborted) {
      co_return;
    }
    if (error) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(kAwaitTuple);
      continue;
    }
    if (open_.load(std::memory_order_relaxed) >= limits_.connections) {
      continue;  // The socket closes as it goes out of scope.
    }
    open_.fetch_add(1, std::memory_order_relaxed);
    net::co_spawn(pool_.context(thread), Serve(std::move(socket), thread),
                  net::detached);
  }
}

awaitable<void> http_server::Serve(tcp::socket socket, std::size_t thread) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buffer;
  bool more = true;
  while (more && !closing_.load(std::memory_order_relaxed)) {
    more = co_await ServeOne(stream, buffer, thread);
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  open_.fetch_sub(1, std::memory_order_relaxed);
}

awaitable<bool> http_server::ServeOne(boost::beast::tcp_stream& stream,
                                      boost::beast::flat_buffer& buffer,
                                      std::size_t thread) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser.body_limit(limits_.body_bytes);
  stream.expires_after(limits_.idle_limit);
  auto [header_error, header_bytes] =
      co_await http::async_read_header(stream, buffer, parser, kAwaitTuple);
  if (header_error) {
    co_await RefuseRequest(stream, header_error, limits_);
    co_return false;
  }
  stream.expires_after(limits_.read_limit);
  auto [body_error, body_bytes] =
      co_await http::async_read(stream, buffer, parser, kAwaitTuple);
  if (body_error) {
    co_await RefuseRequest(stream, body_error, limits_);
    co_return false;
  }
  http_exchange exchange(stream, parser.release(), limits_);
  stream.expires_never();
  co_await handler_(exchange, thread);
  if (!exchange.responded()) {
    co_await exchange.Respond(http_status::not_found, "text/plain",
                              "Nothing is served at this path.\n");
  }
  co_return exchange.reusable();
}

}  // namespace anvilloom
