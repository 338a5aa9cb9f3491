// Defines route_request, the input of a routing decision, the route_policy
// concept, and the baseline policies least_outstanding, round_robin and
// prefix_hash. The production policy is links/least_cost.
#ifndef LINKS_ROUTER_H_
#define LINKS_ROUTER_H_

#include <atomic>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>

#include "common/time.h"
#include "contracts/contract.h"
#include "links/topology.h"

namespace anvilloom {

// The input of a routing decision.
struct route_request {
  service_index wanted{};
  // Hash of the leading part of the prompt, for prefix locality.
  std::uint64_t prefix_hash = 0;
  // Estimates, in tokens.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  // Prompt tokens that requests with the same prefix hash share; 0 if unknown.
  std::uint32_t prefix_tokens = 0;
  priority priority_class = priority::kNormal;
  deadline first_token_by = deadline::Never();
  deadline answer_by = deadline::Never();
  // Upstreams that already failed this request.
  std::span<const upstream_index> excluded;
};

// Chooses the upstream of a request, or nothing if none may take it. Called on
// the request path by many threads concurrently, inside an RCU read section.
template <typename T>
concept route_policy = requires(T& policy,
                                const topology& snapshot,
                                const route_request& request,
                                time_point now) {
  {
    policy.Choose(snapshot, request, now)
    } -> std::same_as<std::optional<upstream_index>>;
};

// Whether an upstream may take the request: it takes new work and has not
// failed this request before.
bool MayTake(const topology& snapshot,
             const route_request& request,
             upstream_index candidate);

// Chooses the eligible upstream with the fewest outstanding requests.
class least_outstanding {
 public:
  std::optional<upstream_index> Choose(const topology& snapshot,
                                       const route_request& request,
                                       time_point now);
};

// Takes the eligible upstreams in turn.
class round_robin {
 public:
  std::optional<upstream_index> Choose(const topology& snapshot,
                                       const route_request& request,
                                       time_point now);

 private:
  std::atomic<std::uint32_t> next_{0};
};

// Chooses the eligible upstream with the highest rendezvous score for the
// prefix, regardless of its load.
class prefix_hash {
 public:
  std::optional<upstream_index> Choose(const topology& snapshot,
                                       const route_request& request,
                                       time_point now);
};

}  // namespace anvilloom

#endif  // LINKS_ROUTER_H_
