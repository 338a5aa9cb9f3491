// Defines least_cost, the production routing policy. It chooses the upstream
// with the lowest expected cost among those expected to meet the contract. The
// design, alternatives and measurements are in docs/routing.md.
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

// Estimates of a routing decision for the chosen upstream.
struct route_estimate {
  upstream_index chosen{};
  // Hash of the chosen upstream's name.
  std::uint64_t name_hash = 0;
  // Time to the first token, and between tokens at the batch size that includes
  // this request, in microseconds.
  duration first_token{0};
  duration token_interval{0};
  // Whether the contract is expected to be met.
  bool meets_target = false;
  // Expected requests at the evaluated upstreams, relative to the number they
  // can run within the target token interval, in thousandths.
  std::uint32_t load_permille = 0;
};

// Terms of the cost model. Each can be disabled to measure its effect.
struct least_cost_features {
  bool price = true;
  bool locality = true;
  // Corrects load reports by the requests sent from this entry instance since.
  bool load_correction = true;
  // Models the effect of the batch size on the token interval.
  bool batching = true;
  bool reclaim_risk = true;
  bool priorities = true;
};

// Thread-safe. A decision reads the links' atomics and writes only prefix
// hints.
class least_cost {
 public:
  explicit least_cost(const least_cost_features& parts = {}) : parts_(parts) {}

  std::optional<upstream_index> Choose(const topology& snapshot,
                                       const route_request& request,
                                       time_point now);
  // Returns the decision that Choose() would make, without recording a prefix
  // location. Nothing if no upstream may take the request.
  std::optional<route_estimate> Estimate(const topology& snapshot,
                                         const route_request& request,
                                         time_point now) const;

  // Cache events. They may be late, duplicated or lost; after a gap, call
  // link::DistrustCache().
  void CacheStored(std::uint64_t prefix_hash,
                   std::string_view upstream_name,
                   time_point now);
  void CacheEvicted(std::uint64_t prefix_hash, std::string_view upstream_name);
  // Whether the upstream of `path` probably caches the prefix, according to
  // what was recorded since link::DistrustCache() was last called.
  bool IsCached(std::uint64_t prefix_hash, const link& path) const;
  // Number of prefixes for which IsCached() holds. Scans the whole table; only
  // used by the state dump.
  std::size_t CountCached(const link& path) const;
  // Records a reclaim notice in a failure domain. Reclaims in a domain are
  // correlated in time, so a notice makes further ones more likely.
  void ObserveReclaim(std::string_view domain, time_point now);
  // Sets the number of live entry instances, including this one.
  void SetMembers(std::uint32_t members);

 private:
  static constexpr std::size_t kReclaimSlots = 64;

  friend class cost_scan;

  least_cost_features parts_;
  prefix_locations locations_;
  std::atomic<std::uint32_t> members_{1};
  // Time of the latest reclaim notice by domain hash, in microseconds; zero if
  // none.
  std::array<std::atomic<monotonic::rep>, kReclaimSlots> last_reclaims_{};
};

static_assert(route_policy<least_cost>);

}  // namespace anvilloom

#endif  // LINKS_LEAST_COST_H_
