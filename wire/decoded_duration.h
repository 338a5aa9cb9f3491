// Defines DecodeMicroseconds, which checks times that other processes state.
#ifndef WIRE_DECODED_DURATION_H_
#define WIRE_DECODED_DURATION_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "common/time.h"

namespace anvilloom {

// A year, the longest time that is accepted. Receivers add it to a time_point,
// which must not overflow.
inline constexpr duration kMaxDecodedDuration = std::chrono::hours(24 * 365);

// Returns a time in microseconds, or nullopt if it is out of range. A negative
// number that was cast is out of range.
constexpr std::optional<duration> DecodeMicroseconds(std::uint64_t us) {
  constexpr auto kMaxUs =
      static_cast<std::uint64_t>(kMaxDecodedDuration.count());
  return us <= kMaxUs ? std::optional(duration(static_cast<duration::rep>(us)))
                      : std::nullopt;
}

}  // namespace anvilloom

#endif  // WIRE_DECODED_DURATION_H_
