// Defines decayed_counter, a sum whose amounts decay exponentially with time.
#ifndef CONTRACTS_DECAYED_COUNTER_H_
#define CONTRACTS_DECAYED_COUNTER_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// An amount that was added `kTimeConstant` ago counts as 1/e of its size. The
// value and the time of its last change are packed into one atomic, so that
// they are always read and written together. Thread-safe.
class decayed_counter {
 public:
  static constexpr duration kTimeConstant = std::chrono::seconds(60);

  void Add(float amount, time_point now);
  float Value(time_point now) const;

 private:
  // The value as a float in the upper 32 bits, the time in milliseconds in the
  // lower 32 bits.
  std::atomic<std::uint64_t> packed_{0};
};

}  // namespace anvilloom

#endif  // CONTRACTS_DECAYED_COUNTER_H_
