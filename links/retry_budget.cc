#include "links/retry_budget.h"

#include <algorithm>

namespace anvilloom {

void retry_budget::Request(std::uint32_t permille) {
  // A full budget is only read, so that threads don't contend for its cache
  // line in normal operation.
  if (balance_.load(std::memory_order_relaxed) <
      max_balance_.load(std::memory_order_relaxed)) {
    balance_.fetch_add(permille, std::memory_order_relaxed);
  }
}

void retry_budget::SetMaxBalance(std::uint32_t retries) {
  max_balance_.store(std::max<std::int64_t>(retries, 1) * kRetryCost,
                     std::memory_order_relaxed);
}

retry_verdict retry_budget::RequestRetry(const retry_request& request,
                                         time_point now) {
  if (request.sent && !request.repeatable) {
    return retry_verdict::kNotRepeatable;
  }
  if (request.answer_by.Expired(now + request.expected)) {
    return retry_verdict::kPastDeadline;
  }
  return TryTake() ? retry_verdict::kRetry : retry_verdict::kBudgetSpent;
}

bool retry_budget::TryTake() {
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kRetryCost) {
    if (balance_.compare_exchange_weak(balance, balance - kRetryCost,
                                       std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace anvilloom
