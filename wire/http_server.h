// Defines http_server, which accepts HTTP/1.1 connections on one address and
// hands each request to a handler on the threads of an io_pool.
#ifndef WIRE_HTTP_SERVER_H_
#define WIRE_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "common/rcu.h"
#include "wire/http_exchange.h"
#include "wire/idle_connections.h"
#include "wire/io_pool.h"
#include "wire/steady_clock.h"
#include "wire/transfer.h"

namespace anvilloom {

// Answers one request. `thread` is the position of the context it runs on.
template <typename T>
concept http_handler = requires(T& handler,
                                http_exchange& exchange,
                                std::size_t thread) {
  { handler.Handle(exchange, thread) } -> std::same_as<awaitable<void>>;
};

namespace internal {

// A handler with its type erased, so that the connection code compiles once.
using handler_function =
    std::function<awaitable<void>(http_exchange&, std::size_t)>;

}  // namespace internal

// Serves until Close(). The pool and the handler must outlive it, and the pool
// must be stopped before it is destroyed.
class http_server {
 public:
  // Throws boost::system::system_error if the address can't be bound.
  template <http_handler Handler>
  http_server(io_pool& pool,
              std::string_view address,
              const http_server_limits& limits,
              Handler& handler)
      : http_server(
            pool,
            address,
            limits,
            internal::handler_function(
                [&handler](http_exchange& exchange, std::size_t thread) {
                  return handler.Handle(exchange, thread);
                })) {}

  // The bound port, useful when the address asked for port 0.
  std::uint16_t port() const { return port_; }

  // Replaces the limits, from the next request of each connection on. The
  // number of connections stays. Waits for a grace period, so it belongs on a
  // control thread.
  void Adopt(const http_server_limits& limits);

  // Tells every client to use another connection for its next request, while
  // new connections and requests are still served.
  void BeginDrain() { draining_.store(true, std::memory_order_relaxed); }

  // Open connections, idle ones included.
  std::size_t open() const { return open_.load(std::memory_order_relaxed); }

  // Accepts no more connections. Idle ones are closed; the others end with
  // their current request.
  void Close();

 private:
  http_server(io_pool& pool,
              std::string_view address,
              const http_server_limits& limits,
              internal::handler_function handler);

  awaitable<void> Accept();
  awaitable<void> Serve(boost::asio::ip::tcp::socket socket,
                        std::size_t thread);
  awaitable<bool> ServeOne(boost::beast::tcp_stream& stream,
                           boost::beast::flat_buffer& buffer,
                           std::size_t thread);
  // Waits for the first byte of a request; false if there is none.
  awaitable<bool> AwaitRequest(boost::beast::tcp_stream& stream,
                               boost::beast::flat_buffer& buffer,
                               std::size_t thread);
  awaitable<void> Answer(http_exchange& exchange, std::size_t thread);
  // Ends the longest wait for a request, so that a new caller finds a place;
  // false if every connection serves a request.
  awaitable<bool> MakeRoom();
  // The thread whose longest wait is the longest of all, if any waits.
  std::optional<std::size_t> LongestIdleThread() const;
  static awaitable<bool> EndLongestWait(idle_connections& idle);

  io_pool& pool_;
  http_server_limits CurrentLimits() const;

  rcu_cell<http_server_limits> limits_;
  internal::handler_function handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::atomic<std::size_t> open_{0};
  std::atomic<bool> closing_{false};
  std::atomic<bool> draining_{false};
  steady_source clock_;
  // By thread.
  std::vector<idle_connections> idle_;
};

}  // namespace anvilloom

#endif  // WIRE_HTTP_SERVER_H_
