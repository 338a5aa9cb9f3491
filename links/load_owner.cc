#include "links/load_owner.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"
#include "links/route_candidate.h"

namespace anvilloom {

load_owners::load_owners(std::span<const live_member> members,
                         std::span<const failure_domain> domains,
                         std::string_view region) {
  for (const live_member& each : members) {
    if (!region.empty() && RegionOf(domains, each.profile.domain) == region) {
      members_.push_back(&each);
    }
  }
  const bool all_leaving = std::ranges::all_of(
      members_, [](const live_member* each) { return each->profile.leaving; });
  for (const live_member* each : members_) {
    if (all_leaving || !each->profile.leaving) {
      candidates_.push_back({each, Hash64(each->profile.name)});
    }
  }
}

const live_member* load_owners::OwnerOf(std::uint64_t engine_hash,
                                        std::string_view engine_domain) const {
  const live_member* owner = nullptr;
  std::pair<bool, std::uint64_t> best;
  for (const candidate& each : candidates_) {
    const std::pair score(each.member->profile.domain == engine_domain,
                          RendezvousScore(engine_hash, each.name_hash));
    if (owner == nullptr || score > best) {
      owner = each.member;
      best = score;
    }
  }
  return owner;
}

std::string_view RegionOf(std::span<const failure_domain> domains,
                          std::string_view domain) {
  const auto found = std::ranges::find(domains, domain, &failure_domain::name);
  return found == domains.end() ? std::string_view() : found->region();
}

}  // namespace anvilloom
