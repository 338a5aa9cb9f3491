// Defines MergeManifests, the three-way merge of configuration files that
// preserves the changes of operators who publish concurrently.
#ifndef CTL_CONFIGURATION_MERGE_H_
#define CTL_CONFIGURATION_MERGE_H_

#include <span>
#include <string>
#include <vector>

#include "wire/configuration_json.h"

namespace anvilloom {

// The merged files sorted by name, and the names of the files that both sides
// changed differently. `files` is valid only if `conflicts` is empty.
struct manifest_merge {
  std::vector<manifest_entry> files;
  std::vector<std::string> conflicts;
};

// Merges file by file. If one side did not change a file relative to `base`,
// the other side's version is taken, including its addition or removal.
manifest_merge MergeManifests(std::span<const manifest_entry> base,
                              std::span<const manifest_entry> theirs,
                              std::span<const manifest_entry> ours);

}  // namespace anvilloom

#endif  // CTL_CONFIGURATION_MERGE_H_
