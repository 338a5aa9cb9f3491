// Defines PrintLimits, the part of the experiment that covers limits and
// retries.
#ifndef TOOLS_EXPERIMENT_LIMITS_H_
#define TOOLS_EXPERIMENT_LIMITS_H_

#include <cstdint>
#include <ostream>

namespace anvilloom {

// Prints the usage and overshoot of a token limit while entry instances fail
// and join, with reservations and with a plain bucket, and the amplification by
// retries while all upstreams fail; mean and worst over the seeds.
void PrintLimits(std::ostream& out, std::uint32_t seeds);

}  // namespace anvilloom

#endif  // TOOLS_EXPERIMENT_LIMITS_H_
