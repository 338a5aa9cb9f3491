// Defines report_schedule, which decides when an instance sends its reports.
#ifndef INSTANCES_REPORT_SCHEDULE_H_
#define INSTANCES_REPORT_SCHEDULE_H_

#include <cstdint>

#include "common/random.h"
#include "common/time.h"

namespace anvilloom {

// Instances that start together report often at first, so that they soon know
// each other's grants. After that each starts its regular interval at a random
// time: otherwise the reports of hundreds arrive at each of them within the
// same fraction of a second. Not thread-safe.
class report_schedule {
 public:
  report_schedule(deadline startup_ends, std::uint64_t seed)
      : startup_ends_(startup_ends), random_(seed) {}

  // Whether reports are sent at the interval of the startup.
  bool IsStartingUp(time_point now) const {
    return !startup_ends_.Expired(now);
  }

  // Returns the pause after a report; both intervals depend on the number of
  // instances.
  duration NextPause(duration startup_interval,
                     duration regular_interval,
                     time_point now) {
    if (IsStartingUp(now)) {
      return startup_interval;
    }
    if (!has_phase_) {
      has_phase_ = true;
      return duration(static_cast<std::int64_t>(
          static_cast<double>(regular_interval.count()) * random_.NextUnit()));
    }
    return regular_interval;
  }

 private:
  deadline startup_ends_;
  split_mix random_;
  bool has_phase_ = false;
};

}  // namespace anvilloom

#endif  // INSTANCES_REPORT_SCHEDULE_H_
