#include "entry/claim_owners.h"

#include <algorithm>
#include <cstddef>

#include "common/rcu.h"
#include "instances/membership.h"

namespace anvilloom {

namespace {

struct owner_name {
  std::string_view instance;
  std::string_view epoch;
};

owner_name ParseOwner(std::string_view owner) {
  const std::size_t separator = owner.rfind(process_state::kEpochSeparator);
  if (separator == std::string_view::npos) {
    return {owner, {}};
  }
  return {owner.substr(0, separator), owner.substr(separator + 1)};
}

}  // namespace

bool claim_owners::IsGone(std::string_view owner) const {
  const owner_name wanted = ParseOwner(owner);
  if (wanted.epoch.empty()) {
    return false;
  }
  if (wanted.instance == process_.settings.name) {
    return wanted.epoch != process_.epoch;
  }
  const rcu_read_guard guard;
  const membership_snapshot& members = process_.members.Read(guard);
  const auto named = [&](const member_profile& profile) {
    return profile.name == wanted.instance;
  };
  const auto live = std::ranges::find_if(
      members.live,
      [&](const live_member& each) { return named(each.profile); });
  if (live != members.live.end()) {
    return !live->profile.epoch.empty() && live->profile.epoch != wanted.epoch;
  }
  return std::ranges::any_of(members.gone, named);
}

}  // namespace anvilloom
