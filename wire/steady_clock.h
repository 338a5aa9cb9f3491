// Defines steady_source, the clock_source of real processes, and conversions
// between the decisions' time line and std::chrono::steady_clock.
#ifndef WIRE_STEADY_CLOCK_H_
#define WIRE_STEADY_CLOCK_H_

#include <chrono>

#include "common/time.h"

namespace anvilloom {

// Reads the operating system's monotonic clock.
class steady_source {
 public:
  time_point Now() const {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

// The same instant on std::chrono::steady_clock, as Asio timers need it.
inline std::chrono::steady_clock::time_point ToSteady(deadline until) {
  if (until == deadline::Never()) {
    return std::chrono::steady_clock::time_point::max();
  }
  return std::chrono::steady_clock::time_point(until.at().time_since_epoch());
}

}  // namespace anvilloom

#endif  // WIRE_STEADY_CLOCK_H_
