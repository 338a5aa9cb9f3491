// Defines claim_owners, which determines from the membership whether the entry
// instance that owns a claim is gone.
#ifndef ENTRY_CLAIM_OWNERS_H_
#define ENTRY_CLAIM_OWNERS_H_

#include <string_view>

#include "entry/process_state.h"

namespace anvilloom {

class claim_owners {
 public:
  // `process` must outlive this object.
  explicit claim_owners(const process_state& process) : process_(process) {}

  // Whether `owner`, a process_state::RunName(), is known to be gone: it left,
  // was declared failed, or its instance name belongs to a later run. An owner
  // that the membership does not remember counts as present.
  bool IsGone(std::string_view owner) const;

 private:
  const process_state& process_;
};

}  // namespace anvilloom

#endif  // ENTRY_CLAIM_OWNERS_H_
