#include "links/router.h"

#include <algorithm>

namespace anvilloom {

bool MayTake(const topology& world,
             const route_request& request,
             upstream_index candidate) {
  if (!world.link_at(candidate).takes_new_work()) {
    return false;
  }
  return std::ranges::find(request.excluded, candidate) ==
         request.excluded.end();
}

std::optional<upstream_index> least_outstanding::Choose(
    const topology& world,
    const route_request& request,
    time_point /*now*/) {
  std::optional<upstream_index> best;
  std::uint32_t fewest = 0;
  for (const upstream_index candidate : world.UpstreamsOf(request.wanted)) {
    if (!MayTake(world, request, candidate)) {
      continue;
    }
    const std::uint32_t outstanding =
        world.link_at(candidate).outstanding_requests();
    if (!best || outstanding < fewest) {
      best = candidate;
      fewest = outstanding;
    }
  }
  return best;
}

}  // namespace anvilloom
