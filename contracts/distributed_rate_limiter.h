// Defines distributed_rate_limiter, the rate limit of a workspace that several
// entry instances enforce together.
#ifndef CONTRACTS_DISTRIBUTED_RATE_LIMITER_H_
#define CONTRACTS_DISTRIBUTED_RATE_LIMITER_H_

#include <atomic>
#include <cstdint>
#include <limits>
#include <optional>

#include "common/time.h"

namespace anvilloom {

// A rate limit in units, which are requests or tokens. `per_second` 0 means no
// limit.
struct rate_limit {
  std::uint64_t per_second = 0;
  std::uint64_t burst = 0;
};

// Every instance keeps a copy of the whole bucket and charges it with what it
// admits itself and what the others report to have admitted. Reports arrive a
// fraction of a second late, so the instances together exceed the limit by what
// is admitted in that time; the deficit is paid off before the next grant. For
// instances that do not report, the owner of this object charges their even
// share, so that both sides of a partition together stay under the limit.
//
// While a workspace asks for more than its limit, all instances would grant the
// same refilled units at once, because none of them knows the others' latest
// grants. The reports therefore say what callers asked for. Each instance
// grants a call with the probability of limit to demand, so that the instances
// together grant the limit however the calls are spread. No call is refused for
// that while the demand is well below the limit.
//
// The demand is unknown until the reports cover enough time, and while most
// instances run a version that does not report it. Until then, each instance
// grants a workspace that may ask for more than its limit no more than its
// share of the available units between two reports. In a large fleet that share
// is smaller than a single call. A call that exceeds it is granted with a
// probability of share to size, so that the instances together grant the sum of
// their shares.
//
// Uses the generic cell rate algorithm on one atomic. The share is computed
// from further atomics without a lock, so each concurrent thread may exceed it
// by one call. Thread-safe except where noted.
class distributed_rate_limiter {
 public:
  // Takes `units` for a call of this instance unless the bucket has a deficit
  // or this instance has used up its share. Returns whether they were granted.
  bool Admit(std::uint64_t units, const rate_limit& terms, time_point now);
  // Charges what another instance has admitted, even if that causes a deficit.
  void Charge(std::uint64_t units, const rate_limit& terms, time_point now);
  // Charges what another instance has admitted at unknown times, part of it
  // long ago. Empties the bucket at most and causes no deficit.
  void ChargePastGrants(std::uint64_t units,
                        const rate_limit& terms,
                        time_point now);
  // Reverts a charge that was made in place of unknown grants. Only reduces a
  // deficit; a bucket without a deficit is left unchanged.
  void RevertCharge(std::uint64_t units,
                    const rate_limit& terms,
                    time_point now);
  // Times of an instance that has started at `started_at`. They count while the
  // demand is unknown: until the instance knows the grants of the others, it
  // assumes that the workspace asks for more than its limit, and a deficit is
  // no sign of that. Until it has settled, it assumes so while the bucket fills
  // more slowly than at half of the rate.
  struct startup_terms {
    time_point started_at;
    deadline grants_known;
    deadline settled;
  };
  void BeginStartup(const startup_terms& terms);
  // Returns units that were admitted but not used.
  void Refund(std::uint64_t units, const rate_limit& terms);
  // Returns when the deficit will be paid off or, if the share is used up, when
  // the next report is due; `now` if calls need to wait for neither.
  time_point NextGrantAt(const rate_limit& terms, time_point now) const;

  // The number of instances that report to each other, and the interval between
  // their reports in microseconds.
  struct report_terms {
    std::uint64_t members = 1;
    duration interval{0};
  };
  // Records that this instance reported `admitted` units to the others at
  // `now`. `draw` is uniformly random in [0, 1) and decides until the next
  // report how large the first call may be, and which calls are granted. Not
  // thread-safe with itself and RecordDemand().
  void RecordReport(std::uint64_t admitted,
                    const report_terms& terms,
                    double draw,
                    time_point now);
  // Records that one of `members` instances was asked for `units` in the time
  // that its report covers. Not thread-safe with itself and RecordReport().
  void RecordDemand(std::uint64_t units,
                    duration covered,
                    std::uint64_t members,
                    time_point now);

  // Units admitted by this instance since it started, less refunded units. The
  // increase is reported to the others.
  std::uint64_t admitted() const {
    return admitted_.load(std::memory_order_relaxed);
  }
  // Units of the calls that this instance has refused since it started.
  std::uint64_t refused() const {
    return refused_.load(std::memory_order_relaxed);
  }

 private:
  static constexpr double kUnknownDemand = -1;

  bool TakeUnits(std::uint64_t units, const rate_limit& terms, time_point now);
  // Whether a call is refused although the bucket has no deficit.
  bool IsHeldBack(std::uint64_t units,
                  const rate_limit& terms,
                  std::int64_t available_us,
                  std::int64_t now_us) const;
  // Whether a call may be refused for that.
  bool MayBeHeldBack(const rate_limit& terms,
                     std::int64_t available_us,
                     std::int64_t now_us) const;
  // The ratio of limit to demand, corrected by what the bucket holds; above 1
  // if all calls may be granted. Nullopt if the demand is unknown.
  std::optional<double> GrantProbability(const rate_limit& terms,
                                         std::int64_t available_us) const;
  // Returns a number in [0, 1) that changes with each call.
  double DrawForCall() const;
  // Whether granting `units` would exceed this instance's share, counted since
  // its last report, while the workspace asks for more than its limit.
  // `available_us` is the time in which the available units accrue.
  bool ExceedsShare(std::uint64_t units,
                    const rate_limit& terms,
                    std::int64_t available_us,
                    std::int64_t now_us) const;
  void RecordContention(std::int64_t now_us);
  std::uint64_t UnreportedUnits() const;
  // Whether the workspace may ask for more than its limit, as far as grants and
  // deficits tell.
  bool IsContended(std::int64_t available_us,
                   std::int64_t burst_us,
                   std::int64_t now_us) const;

  std::atomic<std::int64_t> full_at_us_{0};
  std::atomic<std::uint64_t> admitted_{0};
  std::atomic<std::uint64_t> refused_{0};
  // Until when the workspace counts as asking for more than its limit.
  std::atomic<std::int64_t> contended_until_us_{
      std::numeric_limits<std::int64_t>::min()};
  // The times of BeginStartup().
  std::atomic<std::int64_t> started_at_us_{0};
  std::atomic<std::int64_t> grants_known_us_{
      std::numeric_limits<std::int64_t>::min()};
  std::atomic<std::int64_t> settled_us_{
      std::numeric_limits<std::int64_t>::min()};
  std::atomic<std::uint64_t> reported_{0};
  std::atomic<std::int64_t> report_due_us_{0};
  std::atomic<std::int64_t> report_interval_us_{0};
  std::atomic<std::uint64_t> members_{1};
  // The draw of RecordReport().
  std::atomic<double> draw_{0};
  // Units that all instances are asked for in a second; negative if unknown.
  std::atomic<double> demand_{kUnknownDemand};

  // Used by RecordReport() and RecordDemand(). What the reports of the last
  // time say, and the seconds of the whole fleet's time that they cover.
  double recent_units_ = 0;
  double recent_seconds_ = 0;
  time_point demand_at_;
  // What this instance was asked for at its last report.
  std::uint64_t reported_demand_ = 0;
  time_point reported_at_ = time_point::min();
};

}  // namespace anvilloom

#endif  // CONTRACTS_DISTRIBUTED_RATE_LIMITER_H_
