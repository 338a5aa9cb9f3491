// Defines delay_bias, the moving average of the ratio between observed and
// expected time to first token of a service.
#ifndef LINKS_DELAY_BIAS_H_
#define LINKS_DELAY_BIAS_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// The expected delay counts only the queued work that is known. Work that has
// not been reported yet and running streams that slow down prefill add to it,
// most of all under overload. Thread-safe.
class delay_bias {
 public:
  // Records a first token. Both durations are measured from the send.
  void Observe(duration expected, duration actual, time_point now) {
    if (expected < kMinExpected) {
      return;
    }
    const std::int64_t ratio = std::clamp(
        actual.count() * kUnbiased / expected.count(), kUnbiased, kMaxPermille);
    const std::int64_t before = permille_.load(std::memory_order_relaxed);
    // Concurrent updates may lose an observation, which the average tolerates.
    permille_.store(before + (ratio - before) / kAveragedObservations,
                    std::memory_order_relaxed);
    last_observed_us_.store(now.time_since_epoch().count(),
                            std::memory_order_relaxed);
  }

  // Returns the expected delay scaled by the current bias.
  duration Apply(duration expected, time_point now) const {
    return expected * permille(now) / kUnbiased;
  }

  // Returns 1000 without recent observations. Otherwise a bias high enough to
  // refuse every call would never be updated again.
  std::int64_t permille(time_point now) const {
    const time_point last_observed(
        duration(last_observed_us_.load(std::memory_order_relaxed)));
    return now - last_observed > kMaxObservationAge
               ? kUnbiased
               : permille_.load(std::memory_order_relaxed);
  }

 private:
  static constexpr std::int64_t kUnbiased = 1000;
  // Limits the bias, so that a single slow engine does not cause all calls to
  // the service to be refused.
  static constexpr std::int64_t kMaxPermille = 2000;
  // The latest 16 observations have about two thirds of the weight. An instance
  // makes that many in one second of overload.
  static constexpr std::int64_t kAveragedObservations = 16;
  // For shorter delays, fixed costs outweigh the queued work.
  static constexpr duration kMinExpected = std::chrono::milliseconds(100);

  // The load of a service can change within a second.
  static constexpr duration kMaxObservationAge = std::chrono::seconds(1);

  std::atomic<std::int64_t> permille_{kUnbiased};
  std::atomic<monotonic::rep> last_observed_us_{0};
};

}  // namespace anvilloom

#endif  // LINKS_DELAY_BIAS_H_
