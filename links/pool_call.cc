#include "links/pool_call.h"

#include <algorithm>

namespace anvilloom {

namespace {

// A call tells the pace of its upstream if it computes at least so many tokens
// and finds no more than this part of them waiting there.
constexpr std::uint32_t kMinTokensForPace = 128;
constexpr double kMaxQueuedShare = 0.5;
// Calls over which the time of calls to a plain service is averaged.
constexpr std::int64_t kAveragedPlainCalls = 32;
// A delay_bias is at most 2, and calls to a plain service may wait for many
// times as long as they take. Their wait is recorded divided by this number.
constexpr std::int64_t kPlainWaitScale = 16;
// Expected delay for which the wait is recorded. Any one that delay_bias takes.
constexpr duration kPlainBiasUnit = std::chrono::milliseconds(500);

duration ExpectedDelay(const placement& placed) {
  return placed.expected_wait + placed.own_time;
}

// Returns the time until a slot is free. Running calls are spread over their
// time, so that one ends in each part of it.
duration PlainWait(const placement& placed, duration own) {
  const std::uint32_t slots = placed.target->announced().slots;
  if (slots == 0 || placed.running < slots) {
    return duration::zero();
  }
  return own * (placed.running - slots + 1) / slots;
}

// Returns by how much calls were recently answered later than at an upstream
// with a free slot; zero without recent answers.
duration ObservedPlainWait(const upstream_pool& pool,
                           duration own,
                           time_point now) {
  const std::int64_t excess = pool.stats->first_token.permille(now) - 1000;
  return own * excess * kPlainWaitScale / 1000;
}

// Whether fewer than half of the slots that upstreams can give are taken.
bool HasHalfOfSlotsFree(const upstream_pool& pool) {
  std::uint64_t slots = 0;
  std::uint64_t running = 0;
  for (const auto& each : pool.members) {
    if (!each->leaving()) {
      slots += each->announced().slots;
      running += each->total_running();
    }
  }
  return running * 2 < slots;
}

double Ratio(duration observed, duration expected) {
  return static_cast<double>(observed.count()) /
         static_cast<double>(std::max<std::int64_t>(expected.count(), 1));
}

}  // namespace

placement_costs CostsOf(const upstream_pool& pool) {
  placement_costs costs;
  costs.engine = pool.stats->profile.profile();
  costs.transfer_us_per_token = pool.transfer_us_per_token;
  costs.plain_answer_us =
      static_cast<double>(pool.stats->answers.typical().count());
  return costs;
}

first_token_estimate EstimateOf(const upstream_pool& pool,
                                const placement& placed,
                                duration target,
                                duration time_left,
                                time_point now) {
  first_token_estimate estimate{placed.expected_wait, placed.own_time, target,
                                time_left};
  if (!pool.model) {
    const duration own(
        pool.stats->plain_time_us.load(std::memory_order_relaxed));
    estimate.wait =
        std::min(PlainWait(placed, own), ObservedPlainWait(pool, own, now));
    // A call that finds a free slot is not refused for an average time of calls
    // that may have been longer.
    estimate.own = estimate.wait == duration::zero() ? duration::zero() : own;
  }
  // A plain call goes to one of a few upstreams. If that one is full, others
  // still have free slots.
  const bool nothing_waits = !pool.model || estimate.wait == duration::zero();
  estimate.idle = nothing_waits && HasHalfOfSlotsFree(pool);
  return estimate;
}

admission_verdict AdmitPlaced(const upstream_pool& pool,
                              const placement& placed,
                              duration target,
                              duration time_left,
                              time_point now,
                              const call_standing& standing) {
  urgency_admission& admission = pool.stats->admission;
  const first_token_estimate estimate =
      EstimateOf(pool, placed, target, time_left, now);
  if (!pool.model) {
    return admission.Decide(estimate, standing, duration(0), now);
  }
  // The bias is due to queued work that is not known yet. That work delays a
  // call whatever the length of its own prompt.
  const duration expected = admission.TypicalDelay(estimate, standing);
  const duration excess =
      pool.stats->first_token.Apply(expected, now) - expected;
  return admission.Decide(estimate, standing, excess, now);
}

void ObserveFirstToken(const upstream_pool& pool,
                       const placement& placed,
                       std::uint32_t prompt_tokens,
                       duration delay,
                       time_point now) {
  pool.stats->first_token.Observe(ExpectedDelay(placed), delay, now);
  // A part that was assumed to be cached may have been computed.
  if (!placed.cache_known) {
    return;
  }
  const first_token_observation observation{
      {placed.unread_tokens, prompt_tokens, placed.running},
      placed.queued_tokens,
      delay - placed.transfer_time};
  pool.stats->profile.Observe(observation);
  const bool waited_for_others =
      placed.queued_tokens > placed.unread_tokens * kMaxQueuedShare;
  if (placed.unread_tokens >= kMinTokensForPace && !waited_for_others) {
    // The expected delay already contains the pace known so far.
    pooled_upstream& target = *placed.target;
    const double ratio = target.pace(now) * Ratio(delay, ExpectedDelay(placed));
    const bool says_state = target.reports_load() || target.IsCold(now);
    if (says_state && target.pacing().active()) {
      // First tokens after a start say little about the speed in normal
      // operation.
      target.RecordPacedAnswer(ratio, now);
    } else {
      target.RecordPace(ratio, now);
    }
  }
}

void ObservePlainAnswer(const upstream_pool& pool,
                        const placement& placed,
                        duration delay,
                        time_point now) {
  std::atomic<std::int64_t>& average = pool.stats->plain_time_us;
  const std::int64_t before = average.load(std::memory_order_relaxed);
  if (before > 0) {
    const duration scaled(kPlainBiasUnit * (delay.count() - before) /
                          (before * kPlainWaitScale));
    pool.stats->first_token.Observe(kPlainBiasUnit, kPlainBiasUnit + scaled,
                                    now);
  }
  if (PlainWait(placed, kPlainBiasUnit) > duration::zero()) {
    return;
  }
  // Concurrent updates may lose a call, which the average tolerates.
  average.store(before == 0
                    ? delay.count()
                    : before + (delay.count() - before) / kAveragedPlainCalls,
                std::memory_order_relaxed);
}

duration TimeUntilOneAccepts(const upstream_pool& pool,
                             duration fallback,
                             time_point now) {
  deadline first = deadline::Never();
  for (const auto& each : pool.members) {
    if (!each->leaving() && !each->refuses_until().Expired(now)) {
      first = first.Earlier(each->refuses_until());
    }
  }
  return first == deadline::Never() ? fallback : first.Remaining(now);
}

}  // namespace anvilloom
