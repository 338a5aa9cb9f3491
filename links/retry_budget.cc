#include "links/retry_budget.h"

#include <algorithm>

namespace anvilloom {

void retry_budget::Request(std::uint32_t permille) {
  // A full budget is only read, so that threads share no written line in calm.
  if (balance_.load(std::memory_order_relaxed) <
      most_saved_.load(std::memory_order_relaxed)) {
    balance_.fetch_add(permille, std::memory_order_relaxed);
  }
}

void retry_budget::SetMostSaved(std::uint32_t repeats) {
  most_saved_.store(std::max<std::int64_t>(repeats, 1) * kOneRepeat,
                    std::memory_order_relaxed);
}

retry_verdict retry_budget::Ask(const retry_question& question,
                                time_point now) {
  if (question.sent && !question.repeatable) {
    return retry_verdict::kNotRepeatable;
  }
  if (question.answer_by.Expired(now + question.expected)) {
    return retry_verdict::kPastDeadline;
  }
  return Take() ? retry_verdict::kRetry : retry_verdict::kBudgetSpent;
}

bool retry_budget::Take() {
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kOneRepeat) {
    if (balance_.compare_exchange_weak(balance, balance - kOneRepeat,
                                       std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace anvilloom
