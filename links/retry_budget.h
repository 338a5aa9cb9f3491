// Defines retry_budget, which bounds the repeats of failed attempts and the
// hedges to a share of the requests.
#ifndef LINKS_RETRY_BUDGET_H_
#define LINKS_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// A failed attempt that may be repeated.
struct retry_question {
  // Whether the contract allows repeats.
  bool repeatable = false;
  // Whether the attempt may have reached the upstream.
  bool sent = true;
  deadline answer_by = deadline::Never();
  // Shortest time in which another attempt could answer.
  duration expected{0};
};

enum class retry_verdict {
  kRetry,          // Granted, and taken from the budget.
  kNotRepeatable,  // It may have run, and the contract allows one run only.
  kPastDeadline,   // Another attempt could not answer in time.
  kBudgetSpent,    // Too many requests were repeated already.
};

// Only the layer that accepted a request asks: nothing below it repeats. Moving
// a stream on a reclaim notice is no retry and takes nothing. Thread-safe.
class retry_budget {
 public:
  // Records a first attempt, which earns `permille` thousandths of a repeat
  // (system_limits.retry_permille).
  void Request(std::uint32_t permille);

  // Decides on a repeat and takes it from the budget if it is granted.
  retry_verdict Ask(const retry_question& question, time_point now);

  // Takes one repeat; false if the budget is spent.
  bool Take();

  // Bounds what may be saved up to `repeats`, at least one. Where several
  // instances share a budget, each saves its part.
  void SetMostSaved(std::uint32_t repeats);

  // Repeats that are available, in thousandths.
  std::int64_t balance_permille() const {
    return balance_.load(std::memory_order_relaxed);
  }

 private:
  // A repeat costs a little more than a thousand thousandths, so that attempts
  // per request stay under 1 + permille / 1000 with what was saved up before.
  static constexpr std::int64_t kOneRepeat = 1050;
  // What may be saved up. Small, so that repeats stay a share of the requests
  // even when all upstreams fail after a long calm.
  static constexpr std::int64_t kMostSaved = 4 * kOneRepeat;

  std::atomic<std::int64_t> most_saved_{kMostSaved};

  // Starts empty: a process that restarts in an outage must not add repeats.
  std::atomic<std::int64_t> balance_{0};
};

}  // namespace anvilloom

#endif  // LINKS_RETRY_BUDGET_H_
