// Defines decayed_counter, a sum whose amounts decay exponentially with time.
#ifndef CONTRACTS_DECAYED_COUNTER_H_
#define CONTRACTS_DECAYED_COUNTER_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// An amount that was added one time constant ago counts as 1/e of its size. The
// value and the time of its last change are packed into one atomic, so that
// they are always read and written together. Thread-safe.
class decayed_counter {
 public:
  static constexpr duration kTimeConstant = std::chrono::seconds(60);

  explicit decayed_counter(duration time_constant = kTimeConstant)
      : time_constant_(time_constant) {}

  void Add(float amount, time_point now);
  float Value(time_point now) const;

 private:
  float Decayed(std::uint64_t packed, std::uint32_t now_ms) const;

  duration time_constant_;
  // The value as a float in the upper 32 bits, the time in milliseconds in the
  // lower 32 bits.
  std::atomic<std::uint64_t> packed_{0};
};

}  // namespace anvilloom

#endif  // CONTRACTS_DECAYED_COUNTER_H_
