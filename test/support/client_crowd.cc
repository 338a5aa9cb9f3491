#include "test/support/client_crowd.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace anvilloom {

namespace {

namespace net = boost::asio;
using tcp = net::ip::tcp;

constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);

}  // namespace

client_crowd::client_crowd(std::uint16_t port,
                           std::size_t count,
                           crowd_script script)
    : script_(std::move(script)) {
  for (std::size_t i = 0; i < count; ++i) {
    net::co_spawn(context_, Run(port), net::detached);
  }
  thread_ = std::jthread([this] { context_.run(); });
}

client_crowd::~client_crowd() {
  context_.stop();
}

awaitable<void> client_crowd::Send(std::uint16_t port, tcp::socket& socket) {
  net::steady_timer timer(context_);
  auto [error] = co_await socket.async_connect(
      {net::ip::address_v4::loopback(), port}, kAwaitTuple);
  if (!error) {
    std::tie(error, std::ignore) = co_await net::async_write(
        socket, net::buffer(script_.first), kAwaitTuple);
  }
  for (std::size_t i = 0; !error && i < script_.times; ++i) {
    if (script_.pause.count() > 0) {
      timer.expires_after(script_.pause);
      co_await timer.async_wait(kAwaitTuple);
    }
    std::tie(error, std::ignore) = co_await net::async_write(
        socket, net::buffer(script_.repeated), kAwaitTuple);
  }
}

awaitable<void> client_crowd::Run(std::uint16_t port) {
  net::steady_timer timer(context_);
  for (bool first = true; first || script_.reconnects_after; first = false) {
    tcp::socket socket(context_);
    co_await Send(port, socket);
    settled_ += first ? 1 : 0;
    if (script_.reconnects_after) {
      timer.expires_after(*script_.reconnects_after);
    } else {
      // Keeps the connection open until the crowd is destroyed.
      timer.expires_at(net::steady_timer::time_point::max());
    }
    co_await timer.async_wait(kAwaitTuple);
  }
}

}  // namespace anvilloom
