// Defines WallClockMicros, the time of day. The wall clock may jump, so it is
// used only for accounting by time of day.
#ifndef WIRE_WALL_CLOCK_H_
#define WIRE_WALL_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace anvilloom {

// Returns microseconds since the Unix epoch. Thread-safe.
inline std::int64_t WallClockMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace anvilloom

#endif  // WIRE_WALL_CLOCK_H_
