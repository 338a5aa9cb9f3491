#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "wire/pause.h"

namespace anvilloom::soak {

namespace {

namespace net = boost::asio;
using tcp = net::ip::tcp;

constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);
constexpr duration kDelay = std::chrono::milliseconds(150);
constexpr duration kSilencePollInterval = std::chrono::milliseconds(20);

}  // namespace

struct fault_proxy::proxied_connection {
  proxied_connection(tcp::socket from, net::io_context& context)
      : client(std::move(from)), server(context) {}

  tcp::socket client;
  tcp::socket server;
};

fault_proxy::fault_proxy(net::io_context& context, std::uint16_t target_port)
    : context_(context),
      target_(net::ip::address_v4::loopback(), target_port),
      acceptor_(context, tcp::endpoint(net::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()) {
  net::co_spawn(context_, Accept(), net::detached);
}

void fault_proxy::Set(proxy_mode mode) {
  mode_.store(mode);
  if (mode == proxy_mode::kReset) {
    net::post(context_, [this] {
      for (const auto& each : connections_) {
        if (const auto held = each.lock()) {
          Reset(*held);
        }
      }
      connections_.clear();
    });
  }
}

void fault_proxy::Reset(proxied_connection& connection) {
  boost::system::error_code ignored;
  for (tcp::socket* socket : {&connection.client, &connection.server}) {
    // Closing a socket with a linger time of zero sends a TCP reset.
    socket->set_option(net::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

awaitable<void> fault_proxy::Accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
    if (error) {
      co_return;
    }
    auto connection =
        std::make_shared<proxied_connection>(std::move(socket), context_);
    if (mode_.load() == proxy_mode::kReset) {
      Reset(*connection);
      continue;
    }
    connections_.push_back(connection);
    net::co_spawn(context_, ConnectAndRelay(std::move(connection)),
                  net::detached);
  }
}

awaitable<void> fault_proxy::ConnectAndRelay(
    std::shared_ptr<proxied_connection> connection) {
  const auto [error] =
      co_await connection->server.async_connect(target_, kAwaitTuple);
  if (error) {
    Reset(*connection);
    co_return;
  }
  net::co_spawn(context_, Relay(connection, true), net::detached);
  co_await Relay(connection, false);
}

awaitable<void> fault_proxy::Relay(
    std::shared_ptr<proxied_connection> connection,
    bool from_server) {
  tcp::socket& from = from_server ? connection->server : connection->client;
  tcp::socket& to = from_server ? connection->client : connection->server;
  std::array<char, 8192> chunk;
  for (;;) {
    const auto [read_error, bytes] =
        co_await from.async_read_some(net::buffer(chunk), kAwaitTuple);
    if (mode_.load() == proxy_mode::kDelay) {
      co_await Pause(kDelay);
    }
    while (mode_.load() == proxy_mode::kSilence) {
      co_await Pause(kSilencePollInterval);
    }
    boost::system::error_code ignored;
    if (read_error) {
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (from_server && mode_.load() == proxy_mode::kDropReplies) {
      continue;
    }
    const auto [write_error, written] =
        co_await net::async_write(to, net::buffer(chunk, bytes), kAwaitTuple);
    if (write_error) {
      from.close(ignored);
      co_return;
    }
  }
}

}  // namespace anvilloom::soak
