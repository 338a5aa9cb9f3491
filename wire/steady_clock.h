// Defines steady_source, the clock_source used in production, and the
// conversion from a deadline to std::chrono::steady_clock.
#ifndef WIRE_STEADY_CLOCK_H_
#define WIRE_STEADY_CLOCK_H_

#include <chrono>

#include "common/time.h"

namespace anvilloom {

// Reads the operating system's monotonic clock. Thread-safe.
class steady_source {
 public:
  time_point Now() const {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

// Converts a deadline to std::chrono::steady_clock for use with Asio timers.
inline std::chrono::steady_clock::time_point ToSteady(deadline until) {
  if (until == deadline::Never()) {
    return std::chrono::steady_clock::time_point::max();
  }
  return std::chrono::steady_clock::time_point(until.at().time_since_epoch());
}

}  // namespace anvilloom

#endif  // WIRE_STEADY_CLOCK_H_
