// Defines PlaceCall, which chooses the upstream of a pool for a call by the
// work that waits there and by the part of the prompt that it keeps.
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

// Costs that placement weighs against each other, in microseconds of an
// upstream's time.
struct placement_costs {
  // Reading one prompt token: 26 us at the 38.1 tokens a millisecond that the
  // users state for their engines, and 5 us for the steps in which a prompt is
  // read, of 1,024 tokens and 4.4 ms each.
  double read_us_per_token = 31.0;
  // Attention between a token that is read and one before it: the users state
  // 0.737 ms for a million pairs.
  double read_us_per_pair = 0.00074;
  // What reading costs beyond its own time: other calls wait for it, and the
  // part that was kept elsewhere is paid for twice.
  double read_weight = 2.0;
  // Fetching a kept token from another engine of the pool instead of reading
  // it. A token takes 164 KB; the engines' links move that in 1.2 us, and the
  // transfer is paid for.
  double fetch_us_per_token = 8.0;
  // One running request: what it adds to a step, over the steps of an answer.
  double running_us = 600.0;
  // A call that fails and has to be sent again, or is lost.
  double failure_us = 500'000.0;
  // Sending to another failure domain, a round trip more.
  double other_domain_us = 3000.0;
};

// What is asked of placement.
struct placement_question {
  const prompt_shape* prompt = nullptr;
  // Failure domain of this entry instance.
  std::string_view domain;
  // Upstreams that the call was sent to before.
  std::span<const std::uint64_t> tried;
  time_point now;
  // Uniform; decides which upstreams are compared besides those that keep parts
  // of the prompt.
  std::uint64_t draw = 0;
  // Whether the upstreams can fetch parts of prompts from each other.
  bool can_fetch = false;
};

struct placement {
  std::shared_ptr<pooled_upstream> target;
  // Tokens of the prompt that the target has to read, and the time that takes.
  std::uint32_t unread_tokens = 0;
  duration read_time{0};
  // Where the target can fetch kept tokens from; null if that gains nothing.
  std::shared_ptr<pooled_upstream> fetch_from;
  std::uint32_t fetched_tokens = 0;
  // Expected time until the target begins with the call, in microseconds.
  duration expected_wait{0};
};

// Time in which an upstream reads the last `unread` tokens of a prompt.
duration ReadTime(const placement_costs& costs,
                  std::uint32_t unread,
                  std::uint32_t whole);

// The cheapest of a few upstreams, or a null target if none may be used. What
// is known of the load is a fraction of a second old, and all instances know
// about the same: if each chose the best of all, they would all choose the same
// one until the next reports. So a few are drawn at random, and compared with
// those that keep parts of the prompt. `locations` holds which prompts were
// sent where by this instance. Prefixes that it has not sent yet are presumed
// at their home, which rendezvous hashing gives them among the upstreams whose
// load is well known here.
placement PlaceCall(const upstream_pool& pool,
                    const prefix_locations& locations,
                    const placement_costs& costs,
                    const placement_question& question);

// Records that the target keeps the prompt now.
void RecordPlacement(prefix_locations& locations,
                     const pooled_upstream& target,
                     const prompt_shape& prompt,
                     time_point now);

}  // namespace anvilloom

#endif  // LINKS_PLACEMENT_H_
