// Defines rate_bucket, a rate limiter that grants reservations, which are
// settled once the actual use is known.
#ifndef CONTRACTS_RATE_BUCKET_H_
#define CONTRACTS_RATE_BUCKET_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// This entry instance's share of a limit: `per_second` / `divisor` units per
// second. `per_second` 0 means no limit.
struct rate_share {
  std::uint32_t per_second = 0;
  std::uint32_t divisor = 1;
};

// Units taken from a bucket. Stores the rate at which they were taken, so that
// settling returns the same amount even if the share has changed since.
struct reservation {
  bool granted = false;
  std::uint32_t units = 0;
  std::int64_t nanoseconds_per_unit = 0;
  // If the units were not granted, when a retry can succeed.
  deadline retry_at = deadline::Never();
};

// The generic cell rate algorithm on one atomic, the time at which the bucket
// will be full again. Following "Reserve, Then Reconcile" (see
// docs/routing.md), a request is charged its estimate first and corrected
// afterwards, so that requests in flight count against the limit. Thread-safe.
class rate_bucket {
 public:
  // The burst size, as the time in which it accrues. It is short because every
  // entry instance has its own burst.
  static constexpr duration kBurst = std::chrono::milliseconds(200);

  // Takes all `units` or none. As long as the bucket is not empty, all are
  // granted and the deficit is paid off before the next grant. If a request
  // had to fit, it would wait for a full bucket, and the units that accrue
  // while the bucket is full are lost. A request for zero units is always
  // granted, even during a deficit.
  reservation Reserve(std::uint32_t units, rate_share share, time_point now);
  // Corrects a granted reservation to the number of units used. A reservation
  // that is never settled stays charged in full.
  void Settle(const reservation& reserved, std::uint32_t used);

 private:
  std::atomic<std::int64_t> full_at_ns_{0};
};

}  // namespace anvilloom

#endif  // CONTRACTS_RATE_BUCKET_H_
