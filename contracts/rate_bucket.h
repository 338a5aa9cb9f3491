// Defines rate_bucket, a rate limit that hands out reservations, to be settled
// once the actual use is known.
#ifndef CONTRACTS_RATE_BUCKET_H_
#define CONTRACTS_RATE_BUCKET_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// This entry instance's part of a limit: `per_second` / `divisor` units a
// second. `per_second` 0 means no limit.
struct rate_share {
  std::uint32_t per_second = 0;
  std::uint32_t divisor = 1;
};

// Units taken from a bucket. Keeps the rate of its time, so that settling
// returns what was taken even if the share has changed since.
struct reservation {
  bool granted = false;
  std::uint32_t units = 0;
  std::int64_t nanoseconds_per_unit = 0;
  // When the units will be there, if they were not granted.
  deadline retry_at = deadline::Never();
};

// The generic cell rate algorithm on one atomic: the time at which the bucket
// will be full again. After "Reserve, Then Reconcile" (see docs/routing.md), a
// use is charged with its estimate first and corrected afterwards, so that work
// in flight counts against the limit.
class rate_bucket {
 public:
  // Units that may come at once, as the time in which they accrue. Short, since
  // each entry instance has such a burst.
  static constexpr duration kBurst = std::chrono::milliseconds(200);

  // Takes `units`, or none. While the bucket holds anything, all are granted,
  // and what it lacked is paid off before the next grant: a request that had
  // to fit would wait for a full bucket, whose further inflow is lost.
  // No units are granted always: what takes nothing need not wait for a debt.
  reservation Reserve(std::uint32_t units, rate_share share, time_point now);
  // Corrects a granted reservation to the units that were used. A reservation
  // that is never settled stays charged in full.
  void Settle(const reservation& reserved, std::uint32_t used);

 private:
  std::atomic<std::int64_t> full_at_ns_{0};
};

}  // namespace anvilloom

#endif  // CONTRACTS_RATE_BUCKET_H_
