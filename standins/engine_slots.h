// Defines engine_slots, the admission of the engine stand-in: a number of
// requests run at once, the others wait in the order of their priority.
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

  // Returns once the request holds a slot. A smaller rank goes first.
  awaitable<void> Acquire(std::uint32_t rank);
  void Release();

  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(queue_.size());
  }

 private:
  // Rank, then order of arrival.
  using place = std::pair<std::uint32_t, std::uint64_t>;

  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::uint64_t next_arrival_ = 0;
  std::map<place, boost::asio::steady_timer*> queue_;
};

}  // namespace anvilloom

#endif  // STANDINS_ENGINE_SLOTS_H_
