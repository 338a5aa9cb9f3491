// Defines rollout_report, what an instance tells the others of a rollout.
#ifndef INSTANCES_ROLLOUT_REPORT_H_
#define INSTANCES_ROLLOUT_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/time.h"
#include "instances/rollout_evidence.h"
#include "instances/rollout_record.h"

namespace anvilloom {

// Rollouts in one report.
inline constexpr std::size_t kRolloutsPerReport = 4;

struct rollout_report {
  rollout_record record;
  // Time since the holder of the duties last knew that the record is the stored
  // one; unset if the sender has not heard of that.
  std::optional<duration> confirmed_age;
  // Whether the version has been found bad, also if that is not stored yet.
  bool is_bad = false;
  // Calls of the sender at the old version, and the results of its calls.
  std::uint32_t old_running = 0;
  rollout_evidence evidence;
};

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_REPORT_H_
