#include "standins/engine_slots.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvilloom {

namespace net = boost::asio;

awaitable<void> engine_slots::Acquire(std::uint32_t rank) {
  if (running_ < slots_) {
    ++running_;
    co_return;
  }
  net::steady_timer slot_timer(co_await net::this_coro::executor);
  slot_timer.expires_at(net::steady_timer::time_point::max());
  queue_.emplace(queue_position(rank, next_arrival_++), &slot_timer);
  co_await slot_timer.async_wait(net::as_tuple(net::use_awaitable));
}

void engine_slots::Release() {
  if (queue_.empty()) {
    --running_;
    return;
  }
  // Hands the slot to the first request in the queue.
  const auto first = queue_.begin();
  first->second->cancel();
  queue_.erase(first);
}

}  // namespace anvilloom
