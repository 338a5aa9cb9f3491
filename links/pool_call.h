// Defines the decisions about the first token of a call to a pool of model
// engines: its expected cost, whether the call is admitted, and what its first
// token tells about the engines.
#ifndef LINKS_POOL_CALL_H_
#define LINKS_POOL_CALL_H_

#include <cstdint>

#include "common/time.h"
#include "links/first_token_admission.h"
#include "links/placement.h"
#include "links/pooled_upstream.h"
#include "links/urgency_admission.h"

namespace anvilloom {

// Returns the cost model of the pool's engines as they are known now.
placement_costs CostsOf(const upstream_pool& pool);

// Returns what the admission of a call that was placed at an upstream depends
// on. `target` is its latency target and `time_left` the time until its
// deadline, in microseconds. The calls of a plain service wait for a slot, and
// take as long as others did. Other instances' calls are known from reports,
// which can be older than the queue. Therefore the wait is not longer than that
// of calls that were answered recently, and zero if there are none.
first_token_estimate EstimateOf(const upstream_pool& pool,
                                const placement& placed,
                                duration target,
                                duration time_left,
                                time_point now);

// Decides whether a call that was placed at an upstream is admitted, and counts
// it.
admission_verdict AdmitPlaced(const upstream_pool& pool,
                              const placement& placed,
                              duration target,
                              duration time_left,
                              time_point now,
                              const call_standing& standing = {});

// Learns from the first token of a call, which came `delay` after the call was
// sent.
void ObserveFirstToken(const upstream_pool& pool,
                       const placement& placed,
                       std::uint32_t prompt_tokens,
                       duration delay,
                       time_point now);

// Learns from a call to a plain service that was answered in `delay` after it
// was sent.
void ObservePlainAnswer(const upstream_pool& pool,
                        const placement& placed,
                        duration delay,
                        time_point now);

// Returns the time until one of the upstreams that have asked for a pause takes
// calls again, in microseconds, or `fallback` if none has asked for one.
duration TimeUntilOneAccepts(const upstream_pool& pool,
                             duration fallback,
                             time_point now);

}  // namespace anvilloom

#endif  // LINKS_POOL_CALL_H_
