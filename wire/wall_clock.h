// Defines WallClockMicros, the time of day. It may jump, so only what is
// accounted by the time of day uses it.
#ifndef WIRE_WALL_CLOCK_H_
#define WIRE_WALL_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace anvilloom {

// Microseconds since 1970.
inline std::int64_t WallClockMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace anvilloom

#endif  // WIRE_WALL_CLOCK_H_
