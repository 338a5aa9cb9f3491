// Defines load_owners, which assigns each engine the entry instance that polls
// its load: the one with the highest rendezvous score among the live members of
// the region. Members in the engine's failure domain are preferred.
#ifndef LINKS_LOAD_OWNER_H_
#define LINKS_LOAD_OWNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "domains/failure_domain.h"
#include "instances/membership.h"

namespace anvilloom {

// Built from one view of the membership. While the views of instances differ,
// an engine may have two owners or none; load_report_sequencer orders the
// reports of two owners.
class load_owners {
 public:
  // Uses the members in `region`. Keeps references to `members` and `domains`,
  // which must outlive the object.
  load_owners(std::span<const live_member> members,
              std::span<const failure_domain> domains,
              std::string_view region);

  // Returns the owner of an engine of the region, or null if the region has no
  // member. Leaving members are chosen only if all members are leaving.
  const live_member* OwnerOf(std::uint64_t engine_hash,
                             std::string_view engine_domain) const;

  // All live members of the region, including leaving ones.
  std::span<const live_member* const> members() const { return members_; }

 private:
  struct candidate {
    const live_member* member;
    std::uint64_t name_hash;
  };

  std::vector<const live_member*> members_;
  std::vector<candidate> candidates_;
};

// Returns the region of a failure domain, or an empty view if the domain is not
// declared.
std::string_view RegionOf(std::span<const failure_domain> domains,
                          std::string_view domain);

}  // namespace anvilloom

#endif  // LINKS_LOAD_OWNER_H_
