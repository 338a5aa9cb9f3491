// Defines hedge, which decides when an idempotent lookup is sent a second time
// to another upstream because its answer is slow.
#ifndef LINKS_HEDGE_H_
#define LINKS_HEDGE_H_

#include <atomic>
#include <cstdint>
#include <optional>

#include "common/time.h"
#include "contracts/contract.h"
#include "links/retry_budget.h"

namespace anvilloom {

// One for each service. Follows the 95th percentile of the time to an answer:
// a hedge after that time helps the slow 5% and adds at most that many
// requests. Thread-safe.
class hedge {
 public:
  // Records the time to the first answer of a request.
  void Observe(duration latency);

  // When to send the second request, or nothing if none may be sent: the call
  // is not repeatable, too few answers were seen, or it would be too late.
  std::optional<deadline> SendAt(const contract& terms,
                                 time_point started,
                                 deadline answer_by) const;

  // Takes the hedge from the retry budget. Call when the time has come and no
  // answer has arrived; false if there must be no hedge.
  static bool Take(retry_budget& budget, deadline answer_by, time_point now);

  // Estimated 95th percentile; zero until enough answers were seen.
  duration slow() const;

 private:
  // Answers before the percentile is used.
  static constexpr std::uint32_t kWarmUp = 100;

  std::atomic<std::uint32_t> observed_{0};
  std::atomic<monotonic::rep> p95_us_{0};
};

}  // namespace anvilloom

#endif  // LINKS_HEDGE_H_
