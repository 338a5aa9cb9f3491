// Defines delay_bias, by how much the first tokens of a service's calls come
// later than expected.
#ifndef LINKS_DELAY_BIAS_H_
#define LINKS_DELAY_BIAS_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// The expected delay counts the work that is known to be ahead of a call. Work
// that no report has told yet, and running streams that slow the reading, come
// on top, most of all in an overload. Thread-safe.
class delay_bias {
 public:
  // Takes in a first token. Both times count from the send.
  void Observe(duration expected, duration real, time_point now) {
    if (expected < kLeastExpected) {
      return;
    }
    const std::int64_t ratio =
        std::clamp(real.count() * kOne / expected.count(), kOne, kMostPermille);
    const std::int64_t before = permille_.load(std::memory_order_relaxed);
    // Two threads at once may lose one of many observations.
    permille_.store(before + (ratio - before) / kObservations,
                    std::memory_order_relaxed);
    observed_us_.store(now.time_since_epoch().count(),
                       std::memory_order_relaxed);
  }

  // The delay to reckon with.
  duration Apply(duration expected, time_point now) const {
    return expected * permille(now) / kOne;
  }

  // Without recent observations nothing is corrected: a bias that refuses every
  // call would never be observed again.
  std::int64_t permille(time_point now) const {
    const time_point observed(
        duration(observed_us_.load(std::memory_order_relaxed)));
    return now - observed > kRecent ? kOne
                                    : permille_.load(std::memory_order_relaxed);
  }

 private:
  static constexpr std::int64_t kOne = 1000;
  // A single bad engine must not shut the whole service.
  static constexpr std::int64_t kMostPermille = 2000;
  // Latest observations that count for about two thirds. An instance sees that
  // many in a second of an overload.
  static constexpr std::int64_t kObservations = 16;
  // Below it, constant costs outweigh the work that was counted.
  static constexpr duration kLeastExpected = std::chrono::milliseconds(100);

  // The load of a service changes within a second.
  static constexpr duration kRecent = std::chrono::seconds(1);

  std::atomic<std::int64_t> permille_{kOne};
  std::atomic<monotonic::rep> observed_us_{0};
};

}  // namespace anvilloom

#endif  // LINKS_DELAY_BIAS_H_
