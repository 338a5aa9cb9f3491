// Defines ObservePlainSpeed, which learns the speed of the upstreams of a
// plain service from their answers.
#ifndef LINKS_PLAIN_ANSWER_H_
#define LINKS_PLAIN_ANSWER_H_

#include <cstdint>
#include <span>

#include "common/time.h"
#include "links/pooled_upstream.h"

namespace anvilloom {

// Learns from an answer that came `time` after its call was sent, in
// microseconds. Ignored unless the upstream reports its load, since nothing
// else reads the result.
void ObservePlainSpeed(service_stats& stats,
                       pooled_upstream& target,
                       duration time,
                       time_point now);

// Returns the time within which a second upstream of the pool is likely to
// answer, in microseconds; zero if unknown. `tried` are the hashes of the
// upstreams that the call was already sent to.
duration LikelyRetryTime(const upstream_pool& pool,
                         std::span<const std::uint64_t> tried,
                         time_point now);

}  // namespace anvilloom

#endif  // LINKS_PLAIN_ANSWER_H_
