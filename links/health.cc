#include "links/health.h"

#include <algorithm>

namespace anvilloom {

namespace {

// An evaluation has a weight of 1/32 in the baseline. A baseline that adapts
// faster than a shift is detected would hide the shift.
constexpr std::int64_t kBaselineDivisor = 32;
constexpr std::int64_t kPermille = 1000;
// Ratio of the load to its baseline above which a longer interval is attributed
// to the load.
constexpr std::int64_t kMaxLoadRatio = 2;
constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

link_condition upstream_health::Review(const health_snapshot& snapshot,
                                       time_point now,
                                       bool is_last) {
  const health_cause detected = FindCause(snapshot);
  const bool readmits =
      condition_ == link_condition::kProbation &&
      snapshot.good_answers - good_at_probation_ >= limits_.probation_answers;
  if (condition_ == link_condition::kQuarantined) {
    if (is_last || quarantined_until_.Expired(now)) {
      BeginProbation(snapshot);
    }
  } else if (detected != health_cause::kNone && !is_last) {
    BeginQuarantine(detected, now);
  } else if (readmits) {
    condition_ = link_condition::kHealthy;
    quarantines_ = 0;
  }
  UpdateBaseline(snapshot);
  previous_ = snapshot;
  return condition_;
}

void upstream_health::BeginProbation(const health_snapshot& snapshot) {
  condition_ = link_condition::kProbation;
  good_at_probation_ = snapshot.good_answers;
  failures_at_probation_ = snapshot.failures_in_a_row;
  consecutive_bad_ = 0;
}

health_cause upstream_health::FindCause(const health_snapshot& snapshot) {
  if (snapshot.version_changes != previous_.version_changes) {
    return health_cause::kVersionChange;
  }
  const bool good = snapshot.good_answers != previous_.good_answers;
  const std::uint32_t bad = snapshot.bad_answers - previous_.bad_answers;
  const bool on_probation = condition_ == link_condition::kProbation;
  CountBadAnswers(snapshot);
  if (consecutive_bad_ >= limits_.bad_answers || (on_probation && bad > 0)) {
    return health_cause::kBadAnswers;
  }
  if (on_probation) {
    // The count still includes the failures from before the probation.
    return snapshot.failures_in_a_row > failures_at_probation_
               ? health_cause::kFailures
               : health_cause::kNone;
  }
  if (snapshot.failures_in_a_row >= limits_.failures_in_a_row && !good) {
    return health_cause::kFailures;
  }
  return ShowsLatencyShift(snapshot) ? health_cause::kLatencyShift
                                     : health_cause::kNone;
}

// The order of good and bad answers between two reviews is unknown, so the bad
// ones are counted as if they came last.
void upstream_health::CountBadAnswers(const health_snapshot& snapshot) {
  if (snapshot.good_answers != previous_.good_answers) {
    consecutive_bad_ = 0;
  }
  consecutive_bad_ += snapshot.bad_answers - previous_.bad_answers;
}

bool upstream_health::HasEnoughIntervals(
    const health_snapshot& snapshot) const {
  return snapshot.token_intervals - intervals_at_evaluation_ >=
         limits_.evaluation_intervals;
}

bool upstream_health::ShowsLatencyShift(const health_snapshot& snapshot) {
  if (!HasEnoughIntervals(snapshot)) {
    return false;
  }
  const bool has_baseline =
      baseline_evaluations_ >= limits_.baseline_evaluations;
  const bool slow =
      snapshot.token_interval.count() * kPermille >
      baseline_us_ * static_cast<std::int64_t>(limits_.shift_permille);
  const bool usual_load = snapshot.outstanding_requests * kPermille <=
                          baseline_load_ * kMaxLoadRatio + kPermille;
  slow_evaluations_ = has_baseline && slow ? slow_evaluations_ + 1 : 0;
  shifted_evaluations_ =
      has_baseline && slow && usual_load ? shifted_evaluations_ + 1 : 0;
  return shifted_evaluations_ >= limits_.shift_evaluations;
}

void upstream_health::UpdateBaseline(const health_snapshot& snapshot) {
  if (!HasEnoughIntervals(snapshot)) {
    return;
  }
  intervals_at_evaluation_ = snapshot.token_intervals;
  const bool shift_unresolved =
      slow_evaluations_ > 0 &&
      slow_evaluations_ <= limits_.rebaseline_evaluations;
  if (shifted_evaluations_ > 0 || shift_unresolved) {
    return;
  }
  const std::int64_t interval = snapshot.token_interval.count();
  const std::int64_t load = snapshot.outstanding_requests * kPermille;
  if (baseline_evaluations_ == 0) {
    baseline_us_ = interval;
    baseline_load_ = load;
  }
  baseline_us_ += (interval - baseline_us_) / kBaselineDivisor;
  baseline_load_ += (load - baseline_load_) / kBaselineDivisor;
  ++baseline_evaluations_;
}

void upstream_health::BeginQuarantine(health_cause cause, time_point now) {
  const std::uint32_t doublings = std::min(quarantines_, kMaxDoublings);
  const duration length = std::min(
      limits_.initial_quarantine * (1 << doublings), limits_.max_quarantine);
  condition_ = link_condition::kQuarantined;
  cause_ = cause;
  quarantined_until_ = deadline::After(now, length);
  ++quarantines_;
  ForgetBaseline();
}

void upstream_health::ForgetBaseline() {
  baseline_us_ = 0;
  baseline_load_ = 0;
  baseline_evaluations_ = 0;
  shifted_evaluations_ = 0;
  slow_evaluations_ = 0;
}

}  // namespace anvilloom
