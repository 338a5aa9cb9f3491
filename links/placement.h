// Defines PlaceCall, which chooses an upstream of a pool for a call from the
// queued work and from the part of the prompt that each upstream caches.
#ifndef LINKS_PLACEMENT_H_
#define LINKS_PLACEMENT_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "common/time.h"
#include "links/pooled_upstream.h"
#include "links/prefix_locations.h"
#include "links/prompt.h"

namespace anvilloom {

// Cost model of placement, in microseconds of an upstream's time.
struct placement_costs {
  // Prefill of one prompt token: 26 us at the 38.1 tokens per millisecond that
  // users state for their engines, plus 5 us for the token's share of a prefill
  // step, which takes 4.4 ms per 1,024 tokens.
  double prefill_us_per_token = 31.0;
  // Attention between a computed token and an earlier one: users state 0.737 ms
  // for a million pairs.
  double prefill_us_per_pair = 0.00074;
  // Factor on the prefill time. Other calls wait for the prefill, and tokens
  // that another upstream caches are computed a second time.
  double prefill_weight = 2.0;
  // Fetch of a cached token from another engine of the pool instead of
  // computing it. A token takes 164 KB, which the engines' network transfers in
  // 1.2 us; the rest accounts for the price of the transfer.
  double fetch_us_per_token = 8.0;
  // Time that a running request adds to the steps of one answer.
  double running_us = 600.0;
  // Cost of a call that fails and is retried or lost.
  double failure_us = 500'000.0;
  // Cost of an additional round trip to another failure domain.
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
};

struct placement {
  std::shared_ptr<pooled_upstream> target;
  // Prompt tokens that the target has to compute, and the prefill time in
  // microseconds.
  std::uint32_t unread_tokens = 0;
  duration prefill_time{0};
  // Upstream from which the target should fetch cached tokens; null if there is
  // no gain.
  std::shared_ptr<pooled_upstream> fetch_from;
  std::uint32_t fetched_tokens = 0;
  // Expected queueing time at the target, in microseconds.
  duration expected_wait{0};
};

// Returns the time that an upstream needs to compute the last `uncached` tokens
// of a prompt of `total_tokens`.
duration PrefillTime(const placement_costs& costs,
                     std::uint32_t uncached,
                     std::uint32_t total_tokens);

// Returns the cheapest of a few upstreams, or a null target if none may be
// used. Load information is a fraction of a second old and about the same at
// all instances. If each instance chose the best upstream of the pool, all
// would choose the same one until the next reports. Therefore a few upstreams
// are drawn at random and compared with those that cache parts of the prompt.
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
