// Defines upstream_health, which decides from observed answers whether an
// upstream may take new work: quarantine, probation and readmission.
#ifndef LINKS_HEALTH_H_
#define LINKS_HEALTH_H_

#include <cstdint>

#include "common/time.h"
#include "links/link.h"

namespace anvilloom {

// Thresholds for quarantine and readmission.
struct health_limits {
  // Consecutive failed calls that trigger a quarantine.
  std::uint32_t failures_in_a_row = 3;
  // Malformed or mismatched answers without a good one in between. There is no
  // time window, so that upstreams with few requests are covered too.
  std::uint32_t bad_answers = 2;
  // Good answers that end the probation.
  std::uint32_t probation_answers = 3;
  duration initial_quarantine = std::chrono::seconds(2);
  // A quarantine after a failed probation is twice as long as the one before,
  // up to this limit.
  duration max_quarantine = std::chrono::seconds(60);
  // Ratio of the token interval to the baseline that counts as a latency shift,
  // in thousandths.
  std::uint32_t shift_permille = 2500;
  // Token intervals between two evaluations of the latency. The link's moving
  // average gives each observation a weight of 1/8, so after 16 of them it
  // reflects 88% of a change. An evaluation for each token would move the
  // baseline before the average showed a shift.
  std::uint32_t evaluation_intervals = 16;
  // Evaluations before the baseline is used.
  std::uint32_t baseline_evaluations = 10;
  // Consecutive evaluations that must show the shift. A single slow batch does
  // not mean that the engine has changed.
  std::uint32_t shift_evaluations = 5;
  // Consecutive evaluations that show a shift at an unusual load before both
  // are included in the baseline: at least ten seconds at the review interval
  // of the entry instance. Calls last longer at an upstream that became slower,
  // so its load grows until routing avoids it.
  std::uint32_t rebaseline_evaluations = 200;
};

// Reason for the latest quarantine.
enum class health_cause : std::uint8_t {
  kNone,
  kFailures,
  kBadAnswers,
  kVersionChange,
  kLatencyShift,
};

// Tracks the health of one upstream. Not thread-safe: one thread periodically
// reviews all upstreams, while request threads update the counters of the link.
class upstream_health {
 public:
  upstream_health() = default;
  explicit upstream_health(const health_limits& limits) : limits_(limits) {}

  // Evaluates the next snapshot and returns the condition. `is_last` means that
  // no other upstream could take the work. The upstream is not quarantined
  // then, because checked answers of a suspect upstream are better than none.
  link_condition Review(const health_snapshot& snapshot,
                        time_point now,
                        bool is_last);

  // Starts a probation, for example after the upstream left and returned.
  void BeginProbation(const health_snapshot& snapshot);

  link_condition condition() const { return condition_; }
  health_cause cause() const { return cause_; }

 private:
  health_cause FindCause(const health_snapshot& snapshot);
  void CountBadAnswers(const health_snapshot& snapshot);
  bool HasEnoughIntervals(const health_snapshot& snapshot) const;
  bool ShowsLatencyShift(const health_snapshot& snapshot);
  void UpdateBaseline(const health_snapshot& snapshot);
  void BeginQuarantine(health_cause cause, time_point now);
  void ForgetBaseline();

  health_limits limits_;
  link_condition condition_ = link_condition::kHealthy;
  health_cause cause_ = health_cause::kNone;
  health_snapshot previous_;
  std::uint32_t failures_at_probation_ = 0;
  std::uint32_t good_at_probation_ = 0;
  std::uint32_t consecutive_bad_ = 0;
  // Quarantines since the upstream was last healthy.
  std::uint32_t quarantines_ = 0;
  deadline quarantined_until_ = deadline::Never();
  // Baselines of the token interval, in microseconds, and of the load, in
  // thousandths of a request.
  std::int64_t baseline_us_ = 0;
  std::int64_t baseline_load_ = 0;
  std::uint32_t baseline_evaluations_ = 0;
  std::uint32_t shifted_evaluations_ = 0;
  // Consecutive evaluations with a shift, at any load.
  std::uint32_t slow_evaluations_ = 0;
  // Value of health_snapshot::token_intervals at the last evaluation.
  std::uint32_t intervals_at_evaluation_ = 0;
};

}  // namespace anvilloom

#endif  // LINKS_HEALTH_H_
