// Defines stall_limits, the time without data on a stream after which an
// upstream counts as hung.
#ifndef LINKS_STALL_LIMITS_H_
#define LINKS_STALL_LIMITS_H_

#include "common/time.h"
#include "contracts/contract.h"

namespace anvilloom {

// Limits on the time without data, in microseconds, derived from the contract's
// targets. They don't depend on the deadline of the whole answer, so that a
// long batch stream may be slow and a hung upstream is detected well before the
// deadline.
struct stall_limits {
  duration first_token{};
  duration token_interval{};
};

stall_limits StallLimitsOf(const contract& terms);

}  // namespace anvilloom

#endif  // LINKS_STALL_LIMITS_H_
