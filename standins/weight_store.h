// Defines weight_store, a stand-in for the platform's store of model weights,
// which limits the rate of loads.
#ifndef STANDINS_WEIGHT_STORE_H_
#define STANDINS_WEIGHT_STORE_H_

#include <chrono>
#include <cstdint>
#include <mutex>

#include "standins/fault_switch.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server: GET /weights/<model> answers 200, or 429 with
// Retry-After while the rate is used up. Thread-safe.
class weight_store {
 public:
  // Allows `loads_per_minute` loads, evenly spaced.
  explicit weight_store(std::uint32_t loads_per_minute);

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  // Time until the next load is allowed; zero if this one is.
  std::chrono::milliseconds TakeOrWait();

  fault_switch faults_;
  std::chrono::milliseconds spacing_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point next_allowed_{};
};

}  // namespace anvilloom

#endif  // STANDINS_WEIGHT_STORE_H_
