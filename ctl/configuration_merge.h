// Defines MergeManifests, the three-way merge of configuration files by which
// operators who publish at the same time keep each other's changes.
#ifndef CTL_CONFIGURATION_MERGE_H_
#define CTL_CONFIGURATION_MERGE_H_

#include <span>
#include <string>
#include <vector>

#include "wire/configuration_json.h"

namespace anvilloom {

// The merged files in the order of their names, and the names of the files
// that both sides changed in different ways. `files` is of use only without
// conflicts.
struct manifest_merge {
  std::vector<manifest_entry> files;
  std::vector<std::string> conflicts;
};

// Merges file by file: a file that one side left as it is in `base` follows
// the other side, also when that side added or removed it.
manifest_merge MergeManifests(std::span<const manifest_entry> base,
                              std::span<const manifest_entry> theirs,
                              std::span<const manifest_entry> ours);

}  // namespace anvilloom

#endif  // CTL_CONFIGURATION_MERGE_H_
