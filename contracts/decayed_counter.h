// Defines decayed_counter, a sum in which past amounts fade.
#ifndef CONTRACTS_DECAYED_COUNTER_H_
#define CONTRACTS_DECAYED_COUNTER_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// An amount added `kFade` ago counts for 1/e of itself. Value and time are
// packed into one atomic, so that threads agree on both.
class decayed_counter {
 public:
  static constexpr duration kFade = std::chrono::seconds(60);

  void Add(float amount, time_point now);
  float Value(time_point now) const;

 private:
  // The value as a float in the upper half, milliseconds in the lower.
  std::atomic<std::uint64_t> packed_{0};
};

}  // namespace anvilloom

#endif  // CONTRACTS_DECAYED_COUNTER_H_
