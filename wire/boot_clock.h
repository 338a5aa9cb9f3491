// Defines boot_source, a clock_source that also counts the time for which the
// machine was suspended.
#ifndef WIRE_BOOT_CLOCK_H_
#define WIRE_BOOT_CLOCK_H_

#include <ctime>

#include "common/time.h"

namespace anvilloom {

// For the age of what was learned from others: it grows while this machine is
// suspended, but the monotonic clock stands still. Its times must not be mixed
// with those of steady_source. Thread-safe.
class boot_source {
 public:
  time_point Now() const {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) +
                      std::chrono::duration_cast<duration>(
                          std::chrono::nanoseconds(now.tv_nsec)));
  }
};

static_assert(clock_source<boot_source>);

}  // namespace anvilloom

#endif  // WIRE_BOOT_CLOCK_H_
