#include "soak/callers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "common/random.h"

namespace anvilloom::soak {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

// Exceeds the limit of 5 s that the manifest sets for each route, so that a
// late response of the gateway is recorded with its duration.
constexpr std::chrono::seconds kCallTimeout{8};
constexpr std::chrono::milliseconds kCallInterval{15};

// A connection that is reused until the gateway closes it.
class persistent_connection {
 public:
  explicit persistent_connection(std::uint16_t port) : port_(port) {}

  std::uint16_t port() const { return port_; }

  // Sends a call and returns its response, or nullopt if no complete response
  // arrives.
  std::optional<http::response<http::string_body>> Exchange(
      const http::request<http::string_body>& request) {
    std::optional<http::response<http::string_body>> answer;
    net::co_spawn(
        context_,
        [&]() -> net::awaitable<void> { answer = co_await Run(request); },
        net::detached);
    context_.restart();
    context_.run();
    if (!answer || !answer->keep_alive()) {
      stream_.reset();
    }
    return answer;
  }

 private:
  net::awaitable<std::optional<http::response<http::string_body>>> Run(
      const http::request<http::string_body>& request) {
    constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);
    if (!stream_) {
      stream_.emplace(context_);
      buffer_.clear();
      stream_->expires_after(kCallTimeout);
      const auto [error] = co_await stream_->async_connect(
          {net::ip::address_v4::loopback(), port_}, kAwaitTuple);
      if (error) {
        co_return std::nullopt;
      }
    }
    stream_->expires_after(kCallTimeout);
    const auto [write_error, sent] =
        co_await http::async_write(*stream_, request, kAwaitTuple);
    http::response<http::string_body> answer;
    const auto [read_error, read] =
        co_await http::async_read(*stream_, buffer_, answer, kAwaitTuple);
    if (write_error || read_error) {
      co_return std::nullopt;
    }
    co_return answer;
  }

  std::uint16_t port_;
  net::io_context context_;
  std::optional<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
};

http::request<http::string_body> MakeCall(const call_record& call) {
  const std::string_view path = call.kind == call_kind::kOnce   ? "/once/x"
                                : call.kind == call_kind::kSafe ? "/safe/x"
                                                                : "/stream/x";
  http::request<http::string_body> request(http::verb::post, path, 11);
  request.set("Host", "a.example");
  request.set("X-Request-Id", call.id);
  request.set("X-Deadline-Ms", "5000");
  request.set("Authorization", "Token key-1");
  request.body() = "body";
  request.prepare_payload();
  return request;
}

}  // namespace

callers::callers(std::span<std::atomic<std::uint16_t>> ports,
                 std::uint64_t seed,
                 std::size_t threads,
                 history& calls)
    : ports_(ports), calls_(calls) {
  for (std::size_t i = 0; i < threads; ++i) {
    threads_.emplace_back([this, seed, i] { Run(seed * 1000 + i); });
  }
}

void callers::Stop() {
  stopping_.store(true);
  threads_.clear();
}

void callers::Run(std::uint64_t seed) {
  split_mix random(seed);
  std::vector<std::unique_ptr<persistent_connection>> connections(
      ports_.size());
  while (!stopping_.load()) {
    const std::uint32_t index =
        random.NextBelow(static_cast<std::uint32_t>(ports_.size()));
    const std::uint16_t port = ports_[index].load();
    if (port == 0) {
      std::this_thread::sleep_for(kCallInterval);
      continue;
    }
    auto& connection = connections[index];
    if (!connection || connection->port() != port) {
      connection = std::make_unique<persistent_connection>(port);
    }
    call_record call;
    call.id = "c" + std::to_string(seed);
    call.id += "-" + std::to_string(next_id_.fetch_add(1));
    call.kind = static_cast<call_kind>(random.NextBelow(3));
    call.gateway = index;
    call.began_at = std::chrono::steady_clock::now();
    if (const auto answer = connection->Exchange(MakeCall(call))) {
      call.status = answer->result_int();
      call.body = answer->body();
    }
    call.duration_s = std::chrono::duration<double>(
                          std::chrono::steady_clock::now() - call.began_at)
                          .count();
    calls_.Add(std::move(call));
    std::this_thread::sleep_for(kCallInterval);
  }
}

}  // namespace anvilloom::soak
