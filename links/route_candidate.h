// Defines route_candidate, the data of one upstream that a routing decision
// reads, packed so that a scan over a service's upstreams stays in the L1
// cache.
#ifndef LINKS_ROUTE_CANDIDATE_H_
#define LINKS_ROUTE_CANDIDATE_H_

#include <cstdint>

#include "links/link.h"
#include "links/upstream.h"

namespace anvilloom {

// Owned by a topology, which keeps the link alive.
struct route_candidate {
  upstream_index index{};
  // Requests that run concurrently without queueing.
  std::uint32_t slots = 0;
  // Hash of the upstream's name, the same at every entry instance.
  std::uint64_t name_hash = 0;
  // Hash of the name of the failure domain.
  std::uint32_t domain_hash = 0;
  // Millionths of a currency unit per hour.
  float price_per_hour = 0;
  link* path = nullptr;
  bool reclaimable = false;
};

// Returns the rendezvous score of a candidate for a prefix. The candidate with
// the highest score is the home. The hash has only two rounds of multiply and
// shift, because a scan computes it for every candidate.
inline std::uint64_t RendezvousScore(std::uint64_t prefix_hash,
                                     std::uint64_t name_hash) {
  std::uint64_t mixed = (prefix_hash ^ name_hash) * 0x9e3779b97f4a7c15U;
  mixed = (mixed ^ (mixed >> 32U)) * 0xd6e8feb86659fd93U;
  return mixed ^ (mixed >> 32U);
}

}  // namespace anvilloom

#endif  // LINKS_ROUTE_CANDIDATE_H_
