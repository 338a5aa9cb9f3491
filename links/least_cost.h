// Defines least_cost, the routing policy in use: the upstream with the least
// expected cost among those expected to meet the contract. The design, the
// alternatives and the figures are in docs/routing.md.
#ifndef LINKS_LEAST_COST_H_
#define LINKS_LEAST_COST_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "common/random.h"
#include "links/prefix_locations.h"
#include "links/route_candidate.h"
#include "links/router.h"
#include "links/topology.h"

namespace anvilloom {

// What a routing decision expects of the upstream that it chose.
struct route_estimate {
  upstream_index chosen{};
  // Hash of the chosen upstream's name.
  std::uint64_t name_hash = 0;
  // Time to the first token, and between tokens at the batch size that this
  // request makes.
  duration first_token{0};
  duration token_interval{0};
  // Whether the contract is expected to be met.
  bool meets_target = false;
  // Requests held by the upstreams looked at, as a share of what they can hold
  // within the target token interval, in thousandths.
  std::uint32_t load_permille = 0;
};

// Parts of the cost that can be switched off, to measure what each is worth.
struct least_cost_parts {
  bool price = true;
  bool locality = true;
  // Corrects load reports by what this entry instance has sent since.
  bool load_correction = true;
  // Minds the effect of a larger batch on the token interval.
  bool batching = true;
  bool reclaim_risk = true;
  bool priorities = true;
};

// Thread-safe. Reads the links' atomics; writes nothing but prefix hints.
class least_cost {
 public:
  explicit least_cost(const least_cost_parts& parts = {}) : parts_(parts) {}

  std::optional<upstream_index> Choose(const topology& world,
                                       const route_request& request,
                                       time_point now);
  // What Choose() would decide, without recording a prefix location. Nothing
  // if no upstream may take the request.
  std::optional<route_estimate> Estimate(const topology& world,
                                         const route_request& request,
                                         time_point now) const;

  // Cache events. They may come late, repeat, or be missing; after a gap call
  // link::DistrustCache().
  void CacheStored(std::uint64_t prefix_hash,
                   std::string_view upstream_name,
                   time_point now);
  void CacheEvicted(std::uint64_t prefix_hash, std::string_view upstream_name);
  // Whether the upstream of `path` is thought to cache the prefix, by what was
  // recorded since its cache was last distrusted.
  bool IsCached(std::uint64_t prefix_hash, const link& path) const;
  // Number of prefixes for which IsCached() holds. Walks the whole table, so it
  // is for the state dump only.
  std::size_t CountCached(const link& path) const;
  // Records a reclaim notice in a failure domain: others there are likelier to
  // follow, since reclaims come in waves.
  void ObserveReclaim(std::string_view domain, time_point now);
  // Live entry instances, this one included.
  void SetMembers(std::uint32_t members);

 private:
  static constexpr std::size_t kDomainSlots = 64;

  friend class cost_scan;

  least_cost_parts parts_;
  prefix_locations locations_;
  std::atomic<std::uint32_t> members_{1};
  // Time of the latest reclaim notice by domain hash; zero if none.
  std::array<std::atomic<monotonic::rep>, kDomainSlots> reclaims_{};
};

static_assert(route_policy<least_cost>);

}  // namespace anvilloom

#endif  // LINKS_LEAST_COST_H_
