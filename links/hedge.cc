#include "links/hedge.h"

#include <algorithm>

namespace anvilloom {

namespace {

// An observation changes the estimated quantile by at most 1/20, or by 19 us if
// that is more.
constexpr monotonic::rep kStepDivisor = 20;
// A value above the estimate raises it by 19 steps and a value below lowers it
// by one, so that it converges where 1 in 20 values is above it.
constexpr monotonic::rep kStepsUp = 19;

}  // namespace

void hedge::Observe(duration latency) {
  const monotonic::rep value = latency.count();
  const monotonic::rep old = p95_us_.load(std::memory_order_relaxed);
  const std::uint32_t seen = observed_.load(std::memory_order_relaxed);
  if (seen < kMinObservations) {
    observed_.store(seen + 1, std::memory_order_relaxed);
    p95_us_.store(std::max(old, value), std::memory_order_relaxed);
    return;
  }
  const monotonic::rep step =
      std::max<monotonic::rep>(old / (kStepDivisor * kStepsUp), 1);
  const monotonic::rep next = value > old ? old + kStepsUp * step : old - step;
  p95_us_.store(std::max<monotonic::rep>(next, 1), std::memory_order_relaxed);
}

std::optional<deadline> hedge::SendAt(const contract& terms,
                                      time_point started,
                                      deadline answer_by) const {
  const duration wait = p95_latency();
  if (!terms.repeatable || wait == duration::zero()) {
    return std::nullopt;
  }
  const deadline send_at = deadline::After(started, wait);
  if (send_at.at() >= answer_by.at()) {
    return std::nullopt;
  }
  return send_at;
}

bool hedge::TryTake(retry_budget& budget, deadline answer_by, time_point now) {
  return budget.RequestRetry({.repeatable = true, .answer_by = answer_by},
                             now) == retry_verdict::kRetry;
}

duration hedge::p95_latency() const {
  return observed_.load(std::memory_order_relaxed) < kMinObservations
             ? duration::zero()
             : duration(p95_us_.load(std::memory_order_relaxed));
}

}  // namespace anvilloom
