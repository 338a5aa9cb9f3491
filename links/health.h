// Defines upstream_health, which decides from what answers show whether an
// upstream may carry new work: quarantine, probation and readmission.
#ifndef LINKS_HEALTH_H_
#define LINKS_HEALTH_H_

#include <cstdint>

#include "common/time.h"
#include "links/link.h"

namespace anvilloom {

// When an upstream is quarantined and readmitted.
struct health_limits {
  // Failed calls in a row that quarantine.
  std::uint32_t failures_in_a_row = 3;
  // Malformed or mismatched answers with no good one between them, however far
  // apart they are: an upstream with few requests must not escape.
  std::uint32_t bad_answers = 2;
  // Good answers that end a probation.
  std::uint32_t probation_answers = 3;
  duration first_quarantine = std::chrono::seconds(2);
  // Each quarantine that follows a failed probation is twice as long.
  duration longest_quarantine = std::chrono::seconds(60);
  // Token interval over the baseline that counts as a shift, in thousandths.
  std::uint32_t shift_permille = 2500;
  // Token intervals since the last judgement of the pace that make a review
  // judge it again. The link's average weighs each by an eighth, so it holds
  // 88% of a new pace then. Judged token by token, it would move the baseline
  // along before it shows a shift.
  std::uint32_t judged_intervals = 16;
  // Judgements before there is a baseline.
  std::uint32_t baseline_reviews = 10;
  // Judgements in a row that must show the shift: one slow batch is no patch.
  std::uint32_t shift_reviews = 5;
  // Judgements in a row that show a shift at an unusual load before both count
  // as usual: at least ten seconds at the entry instance's interval. Calls stay
  // longer at an upstream that became slower, so its load grows until routing
  // avoids it.
  std::uint32_t adopt_reviews = 200;
};

// Why an upstream was quarantined last.
enum class health_cause : std::uint8_t {
  kNone,
  kFailures,
  kBadAnswers,
  kVersionChange,
  kLatencyShift,
};

// Follows one upstream. Not thread-safe: one thread reviews all upstreams at
// intervals, while request threads count on the link.
class upstream_health {
 public:
  upstream_health() = default;
  explicit upstream_health(const health_limits& limits) : limits_(limits) {}

  // Takes the next reading and returns the condition. With `is_last`, no other
  // upstream could take the work: the upstream is not quarantined, because
  // checked answers of a doubtful upstream are better than none.
  link_condition Review(const health_reading& reading,
                        time_point now,
                        bool is_last);

  // Puts the upstream on probation, for example after it left and returned.
  void BeginProbation(const health_reading& reading);

  link_condition condition() const { return condition_; }
  health_cause cause() const { return cause_; }

 private:
  health_cause FindCause(const health_reading& reading);
  void CountBadAnswers(const health_reading& reading);
  bool JudgesPace(const health_reading& reading) const;
  bool ShowsLatencyShift(const health_reading& reading);
  void UpdateBaseline(const health_reading& reading);
  void BeginQuarantine(health_cause cause, time_point now);
  void ForgetBaseline();

  health_limits limits_;
  link_condition condition_ = link_condition::kHealthy;
  health_cause cause_ = health_cause::kNone;
  health_reading seen_;
  std::uint32_t failures_at_probation_ = 0;
  std::uint32_t good_at_probation_ = 0;
  std::uint32_t bad_in_a_row_ = 0;
  // Quarantines since the upstream was last healthy.
  std::uint32_t quarantines_ = 0;
  deadline quarantined_until_ = deadline::Never();
  // The upstream's own usual token interval and load, in microseconds and
  // thousandths of a request.
  std::int64_t baseline_us_ = 0;
  std::int64_t baseline_load_ = 0;
  std::uint32_t baseline_age_ = 0;
  std::uint32_t shifted_reviews_ = 0;
  // Judgements in a row with a shift, whatever the load.
  std::uint32_t slow_reviews_ = 0;
  // The reading's token intervals at the last judgement of the pace.
  std::uint32_t intervals_at_judgement_ = 0;
};

}  // namespace anvilloom

#endif  // LINKS_HEALTH_H_
