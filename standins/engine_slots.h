// Defines engine_slots, the admission control of the engine stand-in: a fixed
// number of requests run concurrently and the others wait in priority order.
#ifndef STANDINS_ENGINE_SLOTS_H_
#define STANDINS_ENGINE_SLOTS_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <utility>

#include "wire/transfer.h"

namespace anvilloom {

// Not thread-safe.
class engine_slots {
 public:
  explicit engine_slots(std::uint32_t slots) : slots_(slots) {}

  // Waits for a slot. A smaller rank has precedence; equal ranks are served in
  // order of arrival.
  awaitable<void> Acquire(std::uint32_t rank);
  // Frees a slot or hands it to the first request in the queue.
  void Release();

  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(queue_.size());
  }

 private:
  // Rank, then arrival number.
  using queue_position = std::pair<std::uint32_t, std::uint64_t>;

  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::uint64_t next_arrival_ = 0;
  std::map<queue_position, boost::asio::steady_timer*> queue_;
};

}  // namespace anvilloom

#endif  // STANDINS_ENGINE_SLOTS_H_
