// Defines weight_store, a stand-in for the platform's model weight store, which
// limits the rate of loads.
#ifndef STANDINS_WEIGHT_STORE_H_
#define STANDINS_WEIGHT_STORE_H_

#include <chrono>
#include <cstdint>
#include <mutex>

#include "standins/fault_injector.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server. GET /weights/<model> returns 200, or 429 with
// Retry-After if the rate limit is exceeded. Thread-safe.
class weight_store {
 public:
  // Allows `loads_per_minute` loads, evenly spaced.
  explicit weight_store(std::uint32_t loads_per_minute);

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  // Admits a load and returns zero, or returns the time until the next load is
  // allowed.
  std::chrono::milliseconds AcquireLoad();

  fault_injector faults_;
  std::chrono::milliseconds load_interval_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point next_allowed_{};
};

}  // namespace anvilloom

#endif  // STANDINS_WEIGHT_STORE_H_
