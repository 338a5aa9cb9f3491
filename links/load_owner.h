// Defines load_owners, which entry instance polls the load of an engine: the
// one with the highest rendezvous score among the live members of the engine's
// region. Members in the engine's failure domain go before the others.
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

// Built from one view of the membership. Instances whose views differ may name
// two owners, or none, until the views agree; load_ledger orders the reports of
// two owners.
class load_owners {
 public:
  // Considers the members of `region`. Keeps views of `members` and `domains`,
  // which must outlive it.
  load_owners(std::span<const live_member> members,
              std::span<const failure_domain> domains,
              std::string_view region);

  // The owner of an engine of the region; null if the region has no member.
  // Members that are leaving are chosen only if there is no other.
  const live_member* OwnerOf(std::uint64_t engine_hash,
                             std::string_view engine_domain) const;

  // All live members of the region, leaving ones included.
  std::span<const live_member* const> members() const { return members_; }

 private:
  struct candidate {
    const live_member* member;
    std::uint64_t name_hash;
  };

  std::vector<const live_member*> members_;
  std::vector<candidate> candidates_;
};

// The region of a failure domain, or an empty view if it is not declared.
std::string_view RegionOf(std::span<const failure_domain> domains,
                          std::string_view domain);

}  // namespace anvilloom

#endif  // LINKS_LOAD_OWNER_H_
