// Defines PrintLimits, the part of the experiment on limits and retries.
#ifndef TOOLS_EXPERIMENT_LIMITS_H_
#define TOOLS_EXPERIMENT_LIMITS_H_

#include <cstdint>
#include <ostream>

namespace anvilloom {

// Prints the use and overshoot of a token limit while entry instances die and
// join, with reservations and with a plain bucket, and the amplification of
// retries with all upstreams failing; mean and worst over the seeds.
void PrintLimits(std::ostream& out, std::uint32_t seeds);

}  // namespace anvilloom

#endif  // TOOLS_EXPERIMENT_LIMITS_H_
