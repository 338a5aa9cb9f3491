// Defines PlaceCall, which chooses an upstream of a pool for a call from the
// queued work and from the part of the prompt that each upstream caches.
#ifndef LINKS_PLACEMENT_H_
#define LINKS_PLACEMENT_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "common/time.h"
#include "instances/engine_profile.h"
#include "instances/rollout_record.h"
#include "links/pooled_upstream.h"
#include "links/prefix_locations.h"
#include "links/prompt.h"

namespace anvilloom {

// Cost model of placement, in microseconds of an upstream's time.
struct placement_costs {
  // Observed times of the service's engines.
  engine_profile engine;
  // Time in which an engine receives one cached token from another engine of
  // the pool. Follows from the size of a token and the bandwidth that the
  // manifest states.
  double transfer_us_per_token = 0;
  // Cost of fetching a token in addition to its transfer time, as a share of
  // the time to compute it. Transfers are priced.
  double fetch_share = 0.2;
  // Factor on the prefill time. Other calls wait for the prefill, and tokens
  // that another upstream caches are computed a second time.
  double prefill_weight = 2.0;
  // Time that a running request adds to the steps of one answer, as the number
  // of prompt tokens computed in that time.
  double running_tokens = 20.0;
  // Same at an upstream of a plain service, in microseconds. Its calls compute
  // no prompts, so the engine profile says nothing about it.
  double plain_running_us = 600.0;
  // Time of an answer of a plain service whose upstreams report their load;
  // zero if unknown. Replaces plain_running_us.
  double plain_answer_us = 0;
  // Cost of taking the last free slot of such an upstream, as a share of
  // plain_answer_us: the load that is known may be too low, and a call without
  // a slot waits or is refused.
  double plain_full_share = 0.1;
  // Cost of a call that fails and is retried or lost, as a share of its latency
  // target.
  double failure_share = 0.6;
  // Cost of an additional round trip to another failure domain of the region.
  double other_domain_us = 3000.0;
};

// Input of PlaceCall().
struct placement_request {
  const prompt_shape* prompt = nullptr;
  // Failure domain of this entry instance.
  std::string_view domain;
  // Hashes of the upstreams that the call was already sent to.
  std::span<const std::uint64_t> tried;
  time_point now;
  // Uniformly random. Selects the upstreams that are compared in addition to
  // those that cache parts of the prompt.
  std::uint64_t random_seed = 0;
  // Whether upstreams can fetch cached parts of prompts from each other.
  bool can_fetch = false;
  // Latency target of the call, in microseconds.
  duration latency_target = std::chrono::seconds(1);
  // Versions of the upstreams that may be chosen; null for all.
  const version_rule* versions = nullptr;
};

struct placement {
  std::shared_ptr<pooled_upstream> target;
  // Prompt tokens that the target has to compute, and the prefill time in
  // microseconds.
  std::uint32_t unread_tokens = 0;
  duration prefill_time{0};
  // Time to the first token if nothing else waited: prefill, transfer and fixed
  // time, in microseconds.
  duration own_time{0};
  // Part of own_time in which cached tokens are fetched.
  duration transfer_time{0};
  // Upstream from which the target should fetch cached tokens; null if there is
  // no gain.
  std::shared_ptr<pooled_upstream> fetch_from;
  std::uint32_t fetched_tokens = 0;
  // Expected queueing time at the target, in microseconds.
  duration expected_wait{0};
  // Tokens of other prompts that were known to wait there, and the requests
  // that ran there.
  std::uint32_t queued_tokens = 0;
  std::uint32_t running = 0;
  // Whether all cached parts that the placement counts on, at the target or at
  // the source of a fetch, were sent there by this instance. Others are only
  // likely to be cached.
  bool cache_known = true;
};

// Returns the cheapest of a few upstreams, or a null target if none may be
// used. Load information is a fraction of a second old and about the same at
// all instances. If each instance chose the best upstream of the pool, all
// would choose the same one until the next reports. Therefore a few upstreams
// are drawn at random and compared with those that cache parts of the prompt.
// If none of these can meet the latency target, a random one of the others that
// can is chosen: a long prompt often finds a queue at each of a few upstreams.
// `locations` records where this instance has sent prompts. A prefix that it
// has not sent yet is assumed to be cached at its home, which rendezvous
// hashing selects among all eligible upstreams.
placement PlaceCall(const upstream_pool& pool,
                    const prefix_locations& locations,
                    const placement_costs& costs,
                    const placement_request& request);

// Records that the target now caches the prompt.
void RecordPlacement(prefix_locations& locations,
                     const pooled_upstream& target,
                     const prompt_shape& prompt,
                     time_point now);

}  // namespace anvilloom

#endif  // LINKS_PLACEMENT_H_
