// Defines stall_limits, how long an upstream may stay silent in a stream
// before it counts as hung.
#ifndef LINKS_STALL_LIMITS_H_
#define LINKS_STALL_LIMITS_H_

#include "common/time.h"
#include "contracts/contract.h"

namespace anvilloom {

// Silence, in microseconds, that the contract's targets make implausible. It is
// independent of the deadline of the whole answer, so a long batch stream may
// be slow, and a hung upstream is found long before the deadline.
struct stall_limits {
  duration first_token{};
  duration token_interval{};
};

stall_limits StallLimitsOf(const contract& terms);

}  // namespace anvilloom

#endif  // LINKS_STALL_LIMITS_H_
