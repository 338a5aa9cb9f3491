#include "links/router.h"

#include <algorithm>

namespace anvilloom {

bool MayTake(const topology& snapshot,
             const route_request& request,
             upstream_index candidate) {
  if (!snapshot.link_at(candidate).takes_new_work()) {
    return false;
  }
  return std::ranges::find(request.excluded, candidate) ==
         request.excluded.end();
}

std::optional<upstream_index> least_outstanding::Choose(
    const topology& snapshot,
    const route_request& request,
    time_point /*now*/) {
  std::optional<upstream_index> best;
  std::uint32_t fewest = 0;
  for (const upstream_index candidate : snapshot.UpstreamsOf(request.wanted)) {
    if (!MayTake(snapshot, request, candidate)) {
      continue;
    }
    const std::uint32_t outstanding =
        snapshot.link_at(candidate).outstanding_requests();
    if (!best || outstanding < fewest) {
      best = candidate;
      fewest = outstanding;
    }
  }
  return best;
}

std::optional<upstream_index> round_robin::Choose(const topology& snapshot,
                                                  const route_request& request,
                                                  time_point /*now*/) {
  const std::span<const upstream_index> all =
      snapshot.UpstreamsOf(request.wanted);
  const std::uint32_t first = next_.fetch_add(1, std::memory_order_relaxed);
  for (std::size_t i = 0; i < all.size(); ++i) {
    const upstream_index candidate = all[(first + i) % all.size()];
    if (MayTake(snapshot, request, candidate)) {
      return candidate;
    }
  }
  return std::nullopt;
}

std::optional<upstream_index> prefix_hash::Choose(const topology& snapshot,
                                                  const route_request& request,
                                                  time_point /*now*/) {
  std::optional<upstream_index> best;
  std::uint64_t highest = 0;
  for (const route_candidate& candidate :
       snapshot.CandidatesOf(request.wanted)) {
    const std::uint64_t score =
        RendezvousScore(request.prefix_hash, candidate.name_hash);
    if (MayTake(snapshot, request, candidate.index) &&
        (!best || score > highest)) {
      best = candidate.index;
      highest = score;
    }
  }
  return best;
}

}  // namespace anvilloom
