// Defines http_server, which accepts HTTP/1.1 connections on an address and
// dispatches requests to a handler on the threads of an io_pool.
#ifndef WIRE_HTTP_SERVER_H_
#define WIRE_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "common/rcu.h"
#include "wire/http_exchange.h"
#include "wire/idle_connections.h"
#include "wire/io_pool.h"
#include "wire/memory_account.h"
#include "wire/steady_clock.h"
#include "wire/transfer.h"
#include "wire/unfinished_bodies.h"

namespace anvilloom {

// Handles a request. `thread` is the index of the io_pool context it runs on.
template <typename T>
concept http_handler = requires(T& handler,
                                http_exchange& exchange,
                                std::size_t thread) {
  { handler.Handle(exchange, thread) } -> std::same_as<awaitable<void>>;
};

namespace internal {

// Counts a use of something, such as a connection or a request, while it
// exists. Owns the counter jointly: suspended coroutines are destroyed with
// their io_context, after the server.
class counted_use {
 public:
  explicit counted_use(std::shared_ptr<std::atomic<std::size_t>> count)
      : count_(std::move(count)) {
    count_->fetch_add(1, std::memory_order_relaxed);
  }
  counted_use(counted_use&& other) noexcept = default;
  counted_use& operator=(counted_use&&) = delete;
  // The release pairs with busy(): whoever reads zero also sees the effects of
  // the requests.
  ~counted_use() {
    if (count_) {
      count_->fetch_sub(1, std::memory_order_release);
    }
  }

 private:
  std::shared_ptr<std::atomic<std::size_t>> count_;
};

// A type-erased handler, so that the connection code is compiled only once.
using handler_function =
    std::function<awaitable<void>(http_exchange&, std::size_t)>;

}  // namespace internal

// Serves until Close(). The pool and the handler must outlive the server, and
// the pool must be stopped before the server is destroyed. BeginDrain(),
// open(), busy(), Close() and EndReads() are thread-safe.
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
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // The bound port; differs from the requested one if that was 0.
  std::uint16_t port() const { return port_; }

  // Replaces the limits, effective from the next request of each connection.
  // Connections that are already open stay open. Blocks for an RCU grace
  // period, so it must not be called on a thread that serves requests.
  void UpdateLimits(const http_server_limits& limits);

  // While `in_doubt` returns true, larger limits may be in force elsewhere, so
  // a request that exceeds the known ones is refused with 503 instead of 413 or
  // 431, after which clients don't retry. `in_doubt` is called on the threads
  // of the pool. Must be called before the pool starts.
  void SetLimitsInDoubt(std::function<bool()> in_doubt) {
    limits_in_doubt_ = std::move(in_doubt);
  }

  // Limits the memory that requests hold until they are answered. A request
  // that finds no room is not read on until others release theirs; if that
  // takes too long, an unfinished one is given up and refused with 503. Must be
  // called before the pool starts. The account must outlive the pool and
  // belongs to this server alone.
  void SetMemoryAccount(memory_account& account);

  // Limits the sum of the connections and of the requests that are being
  // handled, each of which may need a connection of its own to an upstream.
  // When it is reached, idle connections are closed, then those that have been
  // sending a request for the longest time; without any, new connections are
  // closed and requests refused with 503. Must be called before the pool
  // starts.
  void SetDescriptorLimit(std::size_t descriptors) {
    descriptors_ = descriptors;
  }

  // Closes each connection after its next response, while new connections and
  // requests are still served.
  void BeginDrain() { draining_.store(true, std::memory_order_relaxed); }

  // Number of open connections, including idle ones.
  std::size_t open() const {
    return open_connections_->load(std::memory_order_relaxed);
  }

  // Requests of which at least one byte has arrived and that are not completely
  // answered.
  std::size_t busy() const { return busy_->load(std::memory_order_acquire); }

  // Stops accepting connections and closes idle ones; the others are closed
  // after their current request. Requests that have reached this host by then
  // are still served.
  void Close();

  // Rejects the requests that have not arrived completely, as timed out.
  void EndReads();

 private:
  http_server(io_pool& pool,
              std::string_view address,
              const http_server_limits& limits,
              internal::handler_function handler);

  awaitable<void> AcceptConnections();
  // Returns whether a new connection may be served, after a wait for others to
  // be closed if there are too many.
  awaitable<bool> MakeRoom();
  // Accepts the connections that the kernel holds, without waiting.
  void AcceptPending();
  void Serve(boost::asio::ip::tcp::socket socket, std::size_t thread);
  // `open` counts the connection.
  awaitable<void> ServeConnection(boost::asio::ip::tcp::socket socket,
                                  std::size_t thread,
                                  internal::counted_use open);
  awaitable<bool> ServeRequest(boost::beast::tcp_stream& stream,
                               boost::beast::flat_buffer& buffer,
                               std::size_t thread);
  // Answers a request that could not be read.
  awaitable<void> RefuseRequest(boost::beast::tcp_stream& stream,
                                const boost::system::error_code& error,
                                const http_server_limits& limits) const;
  // Waits for the first byte of a request; returns false if the connection was
  // closed, cancelled or timed out.
  awaitable<bool> AwaitRequest(boost::beast::tcp_stream& stream,
                               boost::beast::flat_buffer& buffer,
                               std::size_t thread);
  awaitable<void> HandleRequest(http_exchange& exchange, std::size_t thread);
  // Whether `more` connections, beside the open ones and the requests that are
  // being handled, exceed the limit on descriptors.
  bool IsShortOfDescriptors(std::ptrdiff_t more) const;
  // Closes a connection to admit a new one: the one that has been idle for the
  // longest time, or else the one that has been sending a request for the
  // longest time. Returns false if there is none.
  awaitable<bool> EvictConnection();
  // Gives up an unfinished body on the thread whose bodies hold the most
  // memory.
  void GiveUpBody();
  // Wakes a body on each thread that waits for memory.
  void WakeBodies();

  io_pool& pool_;
  http_server_limits CurrentLimits() const;

  rcu_cell<http_server_limits> limits_;
  std::function<bool()> limits_in_doubt_ = [] { return false; };
  internal::handler_function handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::shared_ptr<std::atomic<std::size_t>> open_connections_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::shared_ptr<std::atomic<std::size_t>> busy_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  // Requests that are being handled.
  std::shared_ptr<std::atomic<std::size_t>> handled_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::size_t descriptors_ = std::numeric_limits<std::ptrdiff_t>::max();
  std::atomic<bool> closing_{false};
  std::atomic<bool> draining_{false};
  steady_source clock_;
  // Indexed by thread: connections that wait for a request, and those that wait
  // for the rest of one.
  std::vector<idle_connections> idle_;
  std::vector<idle_connections> reading_;
  // Requests that are being read.
  std::vector<unfinished_bodies> bodies_;
  // Whether WakeBodies() has already been posted to the thread.
  std::vector<std::atomic<bool>> wake_posted_;
  // Null if the memory of bodies is not limited.
  memory_account* account_ = nullptr;
};

}  // namespace anvilloom

#endif  // WIRE_HTTP_SERVER_H_
