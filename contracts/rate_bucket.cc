#include "contracts/rate_bucket.h"

#include <algorithm>

namespace anvilloom {

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

std::int64_t Nanoseconds(duration value) {
  return std::chrono::nanoseconds(value).count();
}

deadline FromNanoseconds(std::int64_t at) {
  return deadline(
      time_point(std::chrono::ceil<duration>(std::chrono::nanoseconds(at))));
}

// Rounds up, so that the shares of all entry instances add up to at most the
// limit.
std::int64_t NanosecondsPerUnit(rate_share share) {
  const std::int64_t numerator = kNanosecondsPerSecond * share.divisor;
  return (numerator + share.per_second - 1) / share.per_second;
}

}  // namespace

reservation rate_bucket::Reserve(std::uint32_t units,
                                 rate_share share,
                                 time_point now) {
  reservation taken;
  taken.units = units;
  if (share.per_second == 0 || units == 0) {
    taken.granted = true;
    return taken;
  }
  taken.nanoseconds_per_unit = NanosecondsPerUnit(share);
  const std::int64_t now_ns = Nanoseconds(now.time_since_epoch());
  const std::int64_t cost = taken.nanoseconds_per_unit * units;
  const std::int64_t burst = Nanoseconds(kBurst);
  std::int64_t full_at = full_at_ns_.load(std::memory_order_relaxed);
  for (;;) {
    if (full_at - now_ns >= burst) {
      taken.retry_at = FromNanoseconds(full_at - burst + 1);
      return taken;
    }
    const std::int64_t next = std::max(full_at, now_ns) + cost;
    if (full_at_ns_.compare_exchange_weak(full_at, next,
                                          std::memory_order_relaxed)) {
      taken.granted = true;
      return taken;
    }
  }
}

void rate_bucket::Settle(const reservation& reserved, std::uint32_t used) {
  if (!reserved.granted || reserved.nanoseconds_per_unit == 0) {
    return;
  }
  const std::int64_t difference =
      std::int64_t{used} - std::int64_t{reserved.units};
  full_at_ns_.fetch_add(difference * reserved.nanoseconds_per_unit,
                        std::memory_order_relaxed);
}

}  // namespace anvilloom
