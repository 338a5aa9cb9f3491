// Defines hedge, which decides when a slow idempotent lookup is also sent to
// another upstream.
#ifndef LINKS_HEDGE_H_
#define LINKS_HEDGE_H_

#include <atomic>
#include <cstdint>
#include <optional>

#include "common/time.h"
#include "contracts/contract.h"
#include "links/retry_budget.h"

namespace anvilloom {

// One object per service. Estimates the 95th percentile of the time to the
// first answer: a hedge after that time helps the slowest 5% of the requests
// and adds at most 5% more. Thread-safe.
class hedge {
 public:
  // Records the time to the first answer of a request.
  void Observe(duration latency);

  // Returns when to send the second request, or nothing if the call is not
  // repeatable, too few answers were observed, or the hedge would be sent at or
  // after `answer_by`.
  std::optional<deadline> SendAt(const contract& terms,
                                 time_point started,
                                 deadline answer_by) const;

  // Charges the hedge to the retry budget; returns false if it must not be
  // sent. Called when SendAt() has passed without an answer.
  static bool TryTake(retry_budget& budget, deadline answer_by, time_point now);

  // Estimated 95th percentile; zero until enough answers were observed.
  duration p95_latency() const;

 private:
  // Observations before the estimate is used.
  static constexpr std::uint32_t kMinObservations = 100;

  std::atomic<std::uint32_t> observed_{0};
  std::atomic<monotonic::rep> p95_us_{0};
};

}  // namespace anvilloom

#endif  // LINKS_HEDGE_H_
