#include "links/first_token_admission.h"

#include <algorithm>
#include <cmath>

namespace anvilloom {

namespace {

// Least slack, in thousandths of the target, of a call that needs most of its
// target or more by itself.
constexpr std::int64_t kMinSlackPermille = 250;
constexpr std::int64_t kPermille = 1000;
// An upstream whose queue takes less than this part of the limit counts as
// idle.
constexpr std::int64_t kIdlePermille = 100;

bool ExceedsShare(duration queue, duration slack, double share) {
  return static_cast<double>(queue.count()) >
         static_cast<double>(slack.count()) * share;
}

}  // namespace

duration first_token_admission::Limit(const first_token_estimate& estimate) {
  const duration with_queueing =
      estimate.own + estimate.target * kMinSlackPermille / kPermille;
  return std::min(std::max(estimate.target, with_queueing), estimate.time_left);
}

duration first_token_admission::TypicalDelay(
    const first_token_estimate& estimate) const {
  const duration average(average_own_us_.load(std::memory_order_relaxed));
  return estimate.wait + std::min(estimate.own, average);
}

std::size_t first_token_admission::ClassOf(duration slack) {
  if (slack <= kLeastSlack) {
    return 0;
  }
  const double ratio = static_cast<double>(slack.count()) /
                       static_cast<double>(kLeastSlack.count());
  return std::min(static_cast<std::size_t>(2 * std::log2(ratio)), kClasses - 1);
}

duration first_token_admission::LeastSlack(std::size_t slack_class) {
  const double factor = std::exp2(static_cast<double>(slack_class) / 2);
  return duration(static_cast<std::int64_t>(
      static_cast<double>(kLeastSlack.count()) * factor));
}

admission_verdict first_token_admission::Decide(
    const first_token_estimate& estimate,
    duration excess,
    time_point now) {
  // Concurrent updates may lose a call, which the average tolerates.
  const std::int64_t average = average_own_us_.load(std::memory_order_relaxed);
  average_own_us_.store(
      average + (estimate.own.count() - average) / kAveragedCalls,
      std::memory_order_relaxed);
  const duration slack = Limit(estimate) - estimate.own;
  const std::size_t slack_class = ClassOf(slack);
  class_counts& counts = counts_[slack_class];
  counts.offered.Add(1, now);
  const duration wait =
      estimate.idle ? duration::zero() : estimate.wait + excess;
  admission_verdict verdict = admission_verdict::kAdmit;
  if (wait > slack) {
    verdict = IsProbe(estimate) ? admission_verdict::kProbe
                                : admission_verdict::kLate;
  } else if (ExceedsShare(wait, slack, estimate.queue_share)) {
    verdict = admission_verdict::kPrecedence;
  } else if (!estimate.idle && MustYield(slack_class, wait + estimate.own,
                                         estimate.queue_share, now)) {
    verdict = admission_verdict::kYield;
  }
  if (IsAdmitted(verdict)) {
    counts.admitted.Add(1, now);
  }
  return verdict;
}

float first_token_admission::AdmittedShare(const class_counts& counts,
                                           time_point now) {
  const float offered = counts.offered.Value(now);
  return offered < kMinCalls ? 1 : counts.admitted.Value(now) / offered;
}

bool first_token_admission::MustYield(std::size_t slack_class,
                                      duration queue,
                                      double queue_share,
                                      time_point now) const {
  float offered = 0;
  float admitted = 0;
  for (const class_counts& each : counts_) {
    offered += each.offered.Value(now);
    admitted += each.admitted.Value(now);
  }
  // Everything was admitted, as is usual.
  if (offered - admitted < 1) {
    return false;
  }
  const float least = kMinShare * admitted / offered;
  if (AdmittedShare(counts_[slack_class], now) < least) {
    return false;
  }
  for (std::size_t i = 0; i < slack_class; ++i) {
    if (ExceedsShare(queue, LeastSlack(i), queue_share) &&
        AdmittedShare(counts_[i], now) < least) {
      return true;
    }
  }
  return false;
}

duration first_token_admission::LeastDeprivedSlack(float least_share,
                                                   time_point now) const {
  for (std::size_t i = 1; i < kClasses; ++i) {
    if (AdmittedShare(counts_[i], now) < least_share) {
      return LeastSlack(i);
    }
  }
  return duration::max();
}

bool first_token_admission::IsProbe(const first_token_estimate& estimate) {
  const bool idle =
      estimate.wait * kPermille <= Limit(estimate) * kIdlePermille;
  // A call without time is not delayed by an estimate.
  if (!idle || estimate.time_left <= duration::zero()) {
    return false;
  }
  return refused_at_idle_.fetch_add(1, std::memory_order_relaxed) %
             kProbeInterval ==
         kProbeInterval - 1;
}

}  // namespace anvilloom
