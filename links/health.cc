#include "links/health.h"

#include <algorithm>

namespace anvilloom {

namespace {

// Weight of a review in the baseline: 1/32. A baseline that follows faster
// than a patch shows would hide it.
constexpr std::int64_t kBaselineDivisor = 32;
constexpr std::int64_t kPermille = 1000;
// Load over the baseline above which a longer interval is put down to it.
constexpr std::int64_t kLoadFactor = 2;
constexpr std::uint32_t kMostDoublings = 8;

}  // namespace

link_condition upstream_health::Review(const health_reading& reading,
                                       time_point now,
                                       bool is_last) {
  const health_cause found = FindCause(reading);
  const bool readmits =
      condition_ == link_condition::kProbation &&
      reading.good_answers - good_at_probation_ >= limits_.probation_answers;
  if (condition_ == link_condition::kQuarantined) {
    if (is_last || quarantined_until_.Expired(now)) {
      BeginProbation(reading);
    }
  } else if (found != health_cause::kNone && !is_last) {
    BeginQuarantine(found, now);
  } else if (readmits) {
    condition_ = link_condition::kHealthy;
    quarantines_ = 0;
  }
  UpdateBaseline(reading);
  seen_ = reading;
  return condition_;
}

void upstream_health::BeginProbation(const health_reading& reading) {
  condition_ = link_condition::kProbation;
  good_at_probation_ = reading.good_answers;
  failures_at_probation_ = reading.failures_in_a_row;
  bad_in_a_row_ = 0;
}

health_cause upstream_health::FindCause(const health_reading& reading) {
  if (reading.version_changes != seen_.version_changes) {
    return health_cause::kVersionChange;
  }
  const bool good = reading.good_answers != seen_.good_answers;
  const std::uint32_t bad = reading.bad_answers - seen_.bad_answers;
  const bool on_probation = condition_ == link_condition::kProbation;
  CountBadAnswers(reading);
  if (bad_in_a_row_ >= limits_.bad_answers || (on_probation && bad > 0)) {
    return health_cause::kBadAnswers;
  }
  if (on_probation) {
    // The failures from before the probation are still in the row.
    return reading.failures_in_a_row > failures_at_probation_
               ? health_cause::kFailures
               : health_cause::kNone;
  }
  if (reading.failures_in_a_row >= limits_.failures_in_a_row && !good) {
    return health_cause::kFailures;
  }
  return ShowsLatencyShift(reading) ? health_cause::kLatencyShift
                                    : health_cause::kNone;
}

// The order of good and bad answers between two reviews is not known. Bad ones
// are then counted as if they came last.
void upstream_health::CountBadAnswers(const health_reading& reading) {
  if (reading.good_answers != seen_.good_answers) {
    bad_in_a_row_ = 0;
  }
  bad_in_a_row_ += reading.bad_answers - seen_.bad_answers;
}

bool upstream_health::JudgesPace(const health_reading& reading) const {
  return reading.token_intervals - intervals_at_judgement_ >=
         limits_.judged_intervals;
}

bool upstream_health::ShowsLatencyShift(const health_reading& reading) {
  if (!JudgesPace(reading)) {
    return false;
  }
  const bool has_baseline = baseline_age_ >= limits_.baseline_reviews;
  const bool slow =
      reading.token_interval.count() * kPermille >
      baseline_us_ * static_cast<std::int64_t>(limits_.shift_permille);
  const bool usual_load = reading.outstanding_requests * kPermille <=
                          baseline_load_ * kLoadFactor + kPermille;
  slow_reviews_ = has_baseline && slow ? slow_reviews_ + 1 : 0;
  shifted_reviews_ =
      has_baseline && slow && usual_load ? shifted_reviews_ + 1 : 0;
  return shifted_reviews_ >= limits_.shift_reviews;
}

void upstream_health::UpdateBaseline(const health_reading& reading) {
  if (!JudgesPace(reading)) {
    return;
  }
  intervals_at_judgement_ = reading.token_intervals;
  const bool in_doubt =
      slow_reviews_ > 0 && slow_reviews_ <= limits_.adopt_reviews;
  if (shifted_reviews_ > 0 || in_doubt) {
    return;
  }
  const std::int64_t interval = reading.token_interval.count();
  const std::int64_t load = reading.outstanding_requests * kPermille;
  if (baseline_age_ == 0) {
    baseline_us_ = interval;
    baseline_load_ = load;
  }
  baseline_us_ += (interval - baseline_us_) / kBaselineDivisor;
  baseline_load_ += (load - baseline_load_) / kBaselineDivisor;
  ++baseline_age_;
}

void upstream_health::BeginQuarantine(health_cause cause, time_point now) {
  const std::uint32_t doublings = std::min(quarantines_, kMostDoublings);
  const duration length = std::min(limits_.first_quarantine * (1 << doublings),
                                   limits_.longest_quarantine);
  condition_ = link_condition::kQuarantined;
  cause_ = cause;
  quarantined_until_ = deadline::After(now, length);
  ++quarantines_;
  ForgetBaseline();
}

void upstream_health::ForgetBaseline() {
  baseline_us_ = 0;
  baseline_load_ = 0;
  baseline_age_ = 0;
  shifted_reviews_ = 0;
  slow_reviews_ = 0;
}

}  // namespace anvilloom
