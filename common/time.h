// Defines the time types: time_point, duration and deadline, and the
// clock_source concept, through which callers supply the current time.
#ifndef COMMON_TIME_H_
#define COMMON_TIME_H_

#include <chrono>
#include <concepts>

namespace anvilloom {

// A monotonic clock in microseconds. It has no now(): the decision code
// receives the current time as an argument, so that it can run in virtual time.
struct monotonic {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic>;
};

using duration = monotonic::duration;
using time_point = monotonic::time_point;

// A point in time after which something must no longer happen. Code stores
// deadlines and computes the remaining time only where it is needed.
class deadline {
 public:
  constexpr explicit deadline(time_point at) : at_(at) {}

  static constexpr deadline After(time_point now, duration wait) {
    return deadline(now + wait);
  }
  static constexpr deadline Never() { return deadline(time_point::max()); }

  constexpr time_point at() const { return at_; }
  constexpr bool Expired(time_point now) const { return now >= at_; }
  // The remaining time in microseconds; zero once expired.
  constexpr duration Remaining(time_point now) const {
    return Expired(now) ? duration::zero() : at_ - now;
  }
  constexpr deadline Earlier(deadline other) const {
    return other.at_ < at_ ? other : *this;
  }
  constexpr deadline Later(deadline other) const {
    return at_ < other.at_ ? other : *this;
  }

  // There is no operator<=>: clang-tidy 14 takes the zero in its rewritten form
  // for a null pointer.
  friend constexpr bool operator==(deadline, deadline) = default;

 private:
  time_point at_;
};

// A source of the current monotonic time.
template <typename T>
concept clock_source = requires(const T& clock) {
  { clock.Now() } -> std::same_as<time_point>;
};

}  // namespace anvilloom

#endif  // COMMON_TIME_H_
