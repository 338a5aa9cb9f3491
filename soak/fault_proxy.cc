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
constexpr duration kSilenceCheck = std::chrono::milliseconds(20);

}  // namespace

struct fault_proxy::link {
  link(tcp::socket from, net::io_context& context)
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
      for (const auto& each : links_) {
        if (const auto held = each.lock()) {
          Reset(*held);
        }
      }
      links_.clear();
    });
  }
}

void fault_proxy::Reset(link& joined) {
  boost::system::error_code ignored;
  for (tcp::socket* socket : {&joined.client, &joined.server}) {
    // Closing with a linger of zero sends a reset.
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
    auto joined = std::make_shared<link>(std::move(socket), context_);
    if (mode_.load() == proxy_mode::kReset) {
      Reset(*joined);
      continue;
    }
    links_.push_back(joined);
    net::co_spawn(context_, Join(std::move(joined)), net::detached);
  }
}

awaitable<void> fault_proxy::Join(std::shared_ptr<link> joined) {
  const auto [error] =
      co_await joined->server.async_connect(target_, kAwaitTuple);
  if (error) {
    Reset(*joined);
    co_return;
  }
  net::co_spawn(context_, Pump(joined, true), net::detached);
  co_await Pump(joined, false);
}

awaitable<void> fault_proxy::Pump(std::shared_ptr<link> joined, bool reply) {
  tcp::socket& from = reply ? joined->server : joined->client;
  tcp::socket& to = reply ? joined->client : joined->server;
  std::array<char, 8192> piece;
  for (;;) {
    const auto [read_error, bytes] =
        co_await from.async_read_some(net::buffer(piece), kAwaitTuple);
    if (mode_.load() == proxy_mode::kDelay) {
      co_await Pause(kDelay);
    }
    while (mode_.load() == proxy_mode::kSilence) {
      co_await Pause(kSilenceCheck);
    }
    boost::system::error_code ignored;
    if (read_error) {
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (reply && mode_.load() == proxy_mode::kCutReply) {
      continue;
    }
    const auto [write_error, written] =
        co_await net::async_write(to, net::buffer(piece, bytes), kAwaitTuple);
    if (write_error) {
      from.close(ignored);
      co_return;
    }
  }
}

}  // namespace anvilloom::soak
