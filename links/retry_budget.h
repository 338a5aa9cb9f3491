// Defines retry_budget, which limits retries and hedges to a share of the
// requests.
#ifndef LINKS_RETRY_BUDGET_H_
#define LINKS_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// A failed attempt that the caller wants to retry.
struct retry_request {
  // Whether the contract allows more than one run.
  bool repeatable = false;
  // Whether the attempt may have reached the upstream.
  bool sent = true;
  deadline answer_by = deadline::Never();
  // Minimum time in which another attempt could answer, in microseconds.
  duration expected{0};
};

enum class retry_verdict {
  kRetry,          // Granted and charged to the budget.
  kNotRepeatable,  // It may have run, and the contract allows only one run.
  kPastDeadline,   // Another attempt could not answer in time.
  kBudgetSpent,    // The budget is exhausted.
};

// A token bucket that first attempts fill. Only the layer that accepted a
// request retries it; the layers below never do. Moving a stream after a
// reclaim notice is not a retry and is not charged. Thread-safe.
class retry_budget {
 public:
  // Records a first attempt, which adds `permille` thousandths of a retry to
  // the budget (system_limits.retry_permille).
  void Request(std::uint32_t permille);

  // Decides on a retry and charges it to the budget if it is granted.
  retry_verdict RequestRetry(const retry_request& request, time_point now);

  // Charges one retry; returns false if the budget is exhausted.
  bool TryTake();

  // Limits the balance to `retries` retries, at least one. Where several
  // instances share a budget, each gets a part of the limit.
  void SetMaxBalance(std::uint32_t retries);

  // The balance, in thousandths of a retry.
  std::int64_t balance_permille() const {
    return balance_.load(std::memory_order_relaxed);
  }

 private:
  // A retry costs slightly more than 1000 thousandths, so that attempts per
  // request stay below 1 + permille / 1000 even if the budget was full before.
  static constexpr std::int64_t kRetryCost = 1050;
  // Limit on the balance. It is small, so that retries remain a share of the
  // requests even if all upstreams fail after a long time without failures.
  static constexpr std::int64_t kMaxBalance = 4 * kRetryCost;

  std::atomic<std::int64_t> max_balance_{kMaxBalance};

  // Starts empty: a process that restarts during an outage must not add
  // retries.
  std::atomic<std::int64_t> balance_{0};
};

}  // namespace anvilloom

#endif  // LINKS_RETRY_BUDGET_H_
