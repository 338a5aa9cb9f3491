#include "contracts/distributed_rate_limiter.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "common/random.h"

namespace anvilloom {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
// Time after a refusal during which a workspace counts as asking for more than
// its limit. Twice the 2 s for which 72 instances refused calls after each
// overshoot.
constexpr std::int64_t kContentionWindowUs = 4 * kMicrosPerSecond;
// An instance may grant its equal share before it reports, and as much again,
// because callers are not spread evenly and calls would otherwise be refused
// while other instances leave their shares unused. The second share is that of
// this time at most: with long intervals between reports, the instances would
// exceed the limit by a whole interval before any of them notices.
constexpr std::int64_t kMaxExcessUs = 400'000;

// Bounds the size of a first call that exceeds the share.
constexpr double kSmallestDraw = 1e-6;

// Older reports have less weight in the demand, by the factor e in this time.
constexpr double kDemandSpanSeconds = 1.0;
// The demand is unknown until reports cover this time of the whole fleet. With
// the calls of a large prompt, which need 27 ms of a limit each, the error of
// a demand of a third of the limit is then two thirds of it.
constexpr double kMinDemandSeconds = kDemandSpanSeconds / 4;
// Time in which the instances together grant what the bucket holds beyond
// `kTargetUs`, or save what it lacks. Longer than reports take in a fleet of
// hundreds, since what is granted meanwhile is not seen.
constexpr std::int64_t kCorrectionUs = 4 * kMicrosPerSecond;
// No call is refused for the sake of the correction while the demand is below
// three quarters of the limit.
constexpr std::int64_t kTargetUs = kCorrectionUs / 4;

// Longest time in which units accrue, a year. Operators write huge numbers
// where they want no limit, and times must not overflow.
constexpr std::uint64_t kMaxAccrualUs =
    std::uint64_t{365} * 24 * 3600 * kMicrosPerSecond;

// Returns the time in which `units` accrue, in microseconds.
std::int64_t AccrualUs(std::uint64_t units, const rate_limit& terms) {
  constexpr std::uint64_t kMaxUnits =
      std::numeric_limits<std::uint64_t>::max() / kMicrosPerSecond;
  const std::uint64_t us = units <= kMaxUnits
                               ? units * kMicrosPerSecond / terms.per_second
                               : kMaxAccrualUs;
  return static_cast<std::int64_t>(std::min(us, kMaxAccrualUs));
}

std::int64_t ToMicroseconds(time_point at) {
  return at.time_since_epoch().count();
}

// Returns when a bucket that is empty at `now` will be full.
std::int64_t FullAtIfEmptyUs(const rate_limit& terms, time_point now) {
  return ToMicroseconds(now) + AccrualUs(terms.burst, terms);
}

// Atomically replaces the time at which a bucket is full by the result of
// `next`, which gets that time and the time in which `units` accrue. Does
// nothing if there is no limit.
template <typename Next>
void UpdateFullAt(std::atomic<std::int64_t>& full_at_us,
                  std::uint64_t units,
                  const rate_limit& terms,
                  const Next& next) {
  if (terms.per_second == 0 || units == 0) {
    return;
  }
  const std::int64_t accrual = AccrualUs(units, terms);
  std::int64_t before = full_at_us.load(std::memory_order_relaxed);
  for (;;) {
    const std::int64_t after = next(before, accrual);
    if (after == before || full_at_us.compare_exchange_weak(
                               before, after, std::memory_order_relaxed)) {
      return;
    }
  }
}

}  // namespace

bool distributed_rate_limiter::Admit(std::uint64_t units,
                                     const rate_limit& terms,
                                     time_point now) {
  const bool granted = terms.per_second == 0 || TakeUnits(units, terms, now);
  (granted ? admitted_ : refused_).fetch_add(units, std::memory_order_relaxed);
  return granted;
}

bool distributed_rate_limiter::TakeUnits(std::uint64_t units,
                                         const rate_limit& terms,
                                         time_point now) {
  const std::int64_t now_us = ToMicroseconds(now);
  const std::int64_t burst_us = AccrualUs(terms.burst, terms);
  std::int64_t full_at = full_at_us_.load(std::memory_order_relaxed);
  for (;;) {
    const std::int64_t from = std::max(full_at, now_us);
    if (from - now_us > burst_us) {
      RecordContention(now_us);
      return false;
    }
    const std::int64_t available_us = burst_us - (from - now_us);
    if (IsHeldBack(units, terms, available_us, now_us)) {
      // The shares can keep the bucket from a deficit.
      if (available_us < burst_us / 2) {
        RecordContention(now_us);
      }
      return false;
    }
    if (full_at_us_.compare_exchange_weak(full_at,
                                          from + AccrualUs(units, terms),
                                          std::memory_order_relaxed)) {
      return true;
    }
  }
}

bool distributed_rate_limiter::IsHeldBack(std::uint64_t units,
                                          const rate_limit& terms,
                                          std::int64_t available_us,
                                          std::int64_t now_us) const {
  if (const auto probability = GrantProbability(terms, available_us)) {
    return *probability < 1 && DrawForCall() >= *probability;
  }
  return ExceedsShare(units, terms, available_us, now_us);
}

std::optional<double> distributed_rate_limiter::GrantProbability(
    const rate_limit& terms,
    std::int64_t available_us) const {
  const double demand = demand_.load(std::memory_order_relaxed);
  if (demand < 0) {
    return std::nullopt;
  }
  if (members_.load(std::memory_order_relaxed) == 1) {
    return 1;  // The bucket knows all grants.
  }
  const std::int64_t target_us =
      std::min(AccrualUs(terms.burst, terms) / 2, kTargetUs);
  const double correction = static_cast<double>(available_us - target_us) /
                            static_cast<double>(kCorrectionUs);
  const double granted_per_second =
      static_cast<double>(terms.per_second) * (1 + correction);
  return granted_per_second / std::max(demand, 1.0);
}

double distributed_rate_limiter::DrawForCall() const {
  const std::uint64_t asked = admitted() + refused();
  const double draw = draw_.load(std::memory_order_relaxed);
  return split_mix(std::bit_cast<std::uint64_t>(draw) ^ asked).NextUnit();
}

void distributed_rate_limiter::RecordContention(std::int64_t now_us) {
  if (now_us >= grants_known_us_.load(std::memory_order_relaxed)) {
    contended_until_us_.store(now_us + kContentionWindowUs,
                              std::memory_order_relaxed);
  }
}

void distributed_rate_limiter::BeginStartup(const startup_terms& terms) {
  started_at_us_.store(ToMicroseconds(terms.started_at),
                       std::memory_order_relaxed);
  grants_known_us_.store(ToMicroseconds(terms.grants_known.at()),
                         std::memory_order_relaxed);
  settled_us_.store(ToMicroseconds(terms.settled.at()),
                    std::memory_order_relaxed);
}

void distributed_rate_limiter::Charge(std::uint64_t units,
                                      const rate_limit& terms,
                                      time_point now) {
  UpdateFullAt(
      full_at_us_, units, terms,
      [&](std::int64_t full_at, std::int64_t accrual) {
        return std::min(
            std::max(full_at, ToMicroseconds(now)) + accrual,
            ToMicroseconds(now) + static_cast<std::int64_t>(kMaxAccrualUs));
      });
}

void distributed_rate_limiter::ChargePastGrants(std::uint64_t units,
                                                const rate_limit& terms,
                                                time_point now) {
  UpdateFullAt(full_at_us_, units, terms,
               [&](std::int64_t full_at, std::int64_t accrual) {
                 const std::int64_t charged =
                     std::max(full_at, ToMicroseconds(now)) + accrual;
                 return std::max(
                     full_at, std::min(charged, FullAtIfEmptyUs(terms, now)));
               });
}

void distributed_rate_limiter::RevertCharge(std::uint64_t units,
                                            const rate_limit& terms,
                                            time_point now) {
  UpdateFullAt(full_at_us_, units, terms,
               [&](std::int64_t full_at, std::int64_t accrual) {
                 const std::int64_t reduced = full_at - accrual;
                 return std::min(
                     full_at, std::max(reduced, FullAtIfEmptyUs(terms, now)));
               });
}

void distributed_rate_limiter::Refund(std::uint64_t units,
                                      const rate_limit& terms) {
  admitted_.fetch_sub(units, std::memory_order_relaxed);
  if (terms.per_second != 0) {
    full_at_us_.fetch_sub(AccrualUs(units, terms), std::memory_order_relaxed);
  }
}

time_point distributed_rate_limiter::NextGrantAt(const rate_limit& terms,
                                                 time_point now) const {
  if (terms.per_second == 0) {
    return now;
  }
  const std::int64_t now_us = ToMicroseconds(now);
  const std::int64_t burst_us = AccrualUs(terms.burst, terms);
  const std::int64_t available_at =
      full_at_us_.load(std::memory_order_relaxed) - burst_us;
  const std::int64_t available_us = std::min(now_us - available_at, burst_us);
  if (available_us >= 0 && MayBeHeldBack(terms, available_us, now_us)) {
    return std::max(
        now,
        time_point(duration(report_due_us_.load(std::memory_order_relaxed))));
  }
  return std::max(now, time_point(duration(available_at)));
}

void distributed_rate_limiter::RecordReport(std::uint64_t admitted,
                                            const report_terms& terms,
                                            double draw,
                                            time_point now) {
  const std::uint64_t demand = admitted + refused();
  if (reported_at_ != time_point::min()) {
    // Refunds reduce the demand.
    RecordDemand(demand - std::min(reported_demand_, demand),
                 now - reported_at_, terms.members, now);
  }
  reported_demand_ = demand;
  reported_at_ = now;
  draw_.store(draw, std::memory_order_relaxed);
  reported_.store(admitted, std::memory_order_relaxed);
  report_due_us_.store(ToMicroseconds(now + terms.interval),
                       std::memory_order_relaxed);
  report_interval_us_.store(terms.interval.count(), std::memory_order_relaxed);
  members_.store(std::max<std::uint64_t>(terms.members, 1),
                 std::memory_order_relaxed);
}

void distributed_rate_limiter::RecordDemand(std::uint64_t units,
                                            duration covered,
                                            std::uint64_t members,
                                            time_point now) {
  using seconds = std::chrono::duration<double>;
  const double kept =
      std::exp(-seconds(now - demand_at_).count() / kDemandSpanSeconds);
  demand_at_ = now;
  recent_units_ = recent_units_ * kept + static_cast<double>(units);
  recent_seconds_ =
      recent_seconds_ * kept +
      seconds(covered).count() /
          static_cast<double>(std::max<std::uint64_t>(members, 1));
  demand_.store(recent_seconds_ < kMinDemandSeconds
                    ? kUnknownDemand
                    : recent_units_ / recent_seconds_,
                std::memory_order_relaxed);
}

bool distributed_rate_limiter::MayBeHeldBack(const rate_limit& terms,
                                             std::int64_t available_us,
                                             std::int64_t now_us) const {
  const auto probability = GrantProbability(terms, available_us);
  return probability
             ? *probability < 1
             : IsContended(available_us, AccrualUs(terms.burst, terms), now_us);
}

bool distributed_rate_limiter::ExceedsShare(std::uint64_t units,
                                            const rate_limit& terms,
                                            std::int64_t available_us,
                                            std::int64_t now_us) const {
  if (!IsContended(available_us, AccrualUs(terms.burst, terms), now_us)) {
    return false;
  }
  const std::uint64_t unreported = UnreportedUnits();
  const std::int64_t report_interval_us =
      report_interval_us_.load(std::memory_order_relaxed);
  // What the others have granted since their last reports, on average, where
  // the excess below does not cover it.
  const std::int64_t unknown_us =
      std::max<std::int64_t>(report_interval_us - kMaxExcessUs, 0) / 2;
  const std::int64_t until_report_us = std::max<std::int64_t>(
      report_due_us_.load(std::memory_order_relaxed) - now_us, 0);
  const auto available_units =
      static_cast<double>(unreported) +
      static_cast<double>(available_us - unknown_us + until_report_us) *
          static_cast<double>(terms.per_second) / kMicrosPerSecond;
  const double excess = std::min(
      1.0,
      static_cast<double>(kMaxExcessUs) /
          static_cast<double>(std::max<std::int64_t>(report_interval_us, 1)));
  const double share =
      (1 + excess) /
      static_cast<double>(members_.load(std::memory_order_relaxed));
  if (share >= 1.0) {
    return false;
  }
  double allowed_units = available_units * share;
  if (unreported == 0) {
    // The first call may be larger than the share. It is granted if the draw is
    // below the ratio of share to size.
    allowed_units /=
        std::max(draw_.load(std::memory_order_relaxed), kSmallestDraw);
  }
  return static_cast<double>(unreported + units) > allowed_units;
}

std::uint64_t distributed_rate_limiter::UnreportedUnits() const {
  const std::uint64_t admitted = admitted_.load(std::memory_order_relaxed);
  const std::uint64_t reported = reported_.load(std::memory_order_relaxed);
  return admitted > reported ? admitted - reported : 0;
}

bool distributed_rate_limiter::IsContended(std::int64_t available_us,
                                           std::int64_t burst_us,
                                           std::int64_t now_us) const {
  if (now_us < contended_until_us_.load(std::memory_order_relaxed) ||
      now_us < grants_known_us_.load(std::memory_order_relaxed)) {
    return true;
  }
  if (now_us >= settled_us_.load(std::memory_order_relaxed)) {
    return false;
  }
  const std::int64_t running_us =
      now_us - started_at_us_.load(std::memory_order_relaxed);
  return available_us < std::min(running_us, burst_us) / 2;
}

}  // namespace anvilloom
