// Defines restore_schedule, which spreads the writes that all instances make
// after the store has come back from an older copy.
#ifndef INSTANCES_RESTORE_SCHEDULE_H_
#define INSTANCES_RESTORE_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/random.h"
#include "common/time.h"

namespace anvilloom {

// Draws a time for each era of the store. Not thread-safe.
class restore_schedule {
 public:
  // Whether the writes for `era` are due. `members` is the number of instances.
  template <random_source Random>
  bool IsDue(std::uint64_t era,
             std::size_t members,
             Random&& random,
             time_point now) {
    if (era_ != era) {
      era_ = era;
      const double unit = split_mix(random.Next()).NextUnit();
      due_at_ = deadline::After(
          now, duration(static_cast<std::int64_t>(
                   static_cast<double>(kTimePerInstance.count()) *
                   static_cast<double>(members) * unit)));
    }
    return due_at_.Expired(now);
  }

 private:
  // About 100 writes a second, however many instances there are.
  static constexpr duration kTimePerInstance = std::chrono::milliseconds(10);

  std::uint64_t era_ = 0;
  deadline due_at_ = deadline(time_point::min());
};

}  // namespace anvilloom

#endif  // INSTANCES_RESTORE_SCHEDULE_H_
