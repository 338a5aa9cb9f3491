// Defines rollout_exposure, which bounds the calls that are sent to a version
// that has not been judged yet.
#ifndef INSTANCES_ROLLOUT_EXPOSURE_H_
#define INSTANCES_ROLLOUT_EXPOSURE_H_

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdint>

namespace anvilloom {

// The calls of all instances together that may go to an unproven version: a
// share of the service's calls, plus a constant number.
struct exposure_bound {
  double share = 0;
  double extra_calls = 0;
};

// Each instance sends a share of its own calls, so the sum over all instances
// keeps the bound without any agreement between them. An instance of a large
// fleet has few calls, so it begins with a random part of one call: without it,
// instances with less than 1 / share calls would never send one. A run of a
// process then exceeds its share by 0 on average and by less than 1 at most;
// the constant number covers the sum of these parts. Nothing is granted per
// run, so restarts renew nothing. Thread-safe.
class rollout_exposure {
 public:
  // `random` is uniformly distributed in [0, 1).
  rollout_exposure(const exposure_bound& bound, double random)
      : per_call_(ToUnits(bound.share * kUsedShare)),
        balance_(bound.extra_calls >= 1 ? ToUnits(random) : 0) {}

  // Counts a call that is sent to an upstream of the service, whatever version
  // it runs. Calls that are refused count for nothing.
  void CountCall() {
    std::int64_t known = balance_.load(std::memory_order_relaxed);
    while (!balance_.compare_exchange_weak(
        known, std::min(known + per_call_, kMaxBalance),
        std::memory_order_relaxed)) {
    }
  }

  // Takes one call to the new version; false if the exposure is used up.
  bool TryTake() {
    std::int64_t known = balance_.load(std::memory_order_relaxed);
    while (known >= kUnitsPerCall) {
      if (balance_.compare_exchange_weak(known, known - kUnitsPerCall,
                                         std::memory_order_relaxed)) {
        return true;
      }
    }
    return false;
  }

  // Gives back a call that was not sent.
  void Return() {
    balance_.fetch_add(kUnitsPerCall, std::memory_order_relaxed);
  }

 private:
  static constexpr std::int64_t kUnitsPerCall = 1'000'000;
  // Calls that are sent here and are lost on the way are no calls of the
  // service.
  static constexpr double kUsedShare = 0.9;
  // Calls that an instance may save while it must not send any, such as in the
  // pauses between bursts. Bounds the burst that follows.
  static constexpr std::int64_t kMaxBalance = 8 * kUnitsPerCall;

  static std::int64_t ToUnits(double calls) {
    return static_cast<std::int64_t>(
        std::floor(std::clamp(calls, 0.0, 1.0) * kUnitsPerCall));
  }

  std::int64_t per_call_;
  std::atomic<std::int64_t> balance_;
};

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_EXPOSURE_H_
