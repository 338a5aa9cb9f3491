#include "ctl/configuration_merge.h"

#include <map>
#include <string_view>

namespace anvilloom {

namespace {

// Digests of one file in the three inputs; empty where the file is absent.
struct file_digests {
  std::string_view base;
  std::string_view theirs;
  std::string_view ours;
};

using digests_by_name = std::map<std::string_view, file_digests>;

void CollectDigests(std::span<const manifest_entry> files,
                    std::string_view file_digests::*side,
                    digests_by_name& into) {
  for (const manifest_entry& file : files) {
    into[file.name].*side = file.digest;
  }
}

}  // namespace

manifest_merge MergeManifests(std::span<const manifest_entry> base,
                              std::span<const manifest_entry> theirs,
                              std::span<const manifest_entry> ours) {
  digests_by_name by_name;
  CollectDigests(base, &file_digests::base, by_name);
  CollectDigests(theirs, &file_digests::theirs, by_name);
  CollectDigests(ours, &file_digests::ours, by_name);
  manifest_merge merged;
  for (const auto& [name, digests] : by_name) {
    const bool ours_changed = digests.ours != digests.base;
    const bool theirs_changed = digests.theirs != digests.base;
    if (ours_changed && theirs_changed && digests.ours != digests.theirs) {
      merged.conflicts.emplace_back(name);
      continue;
    }
    const std::string_view digest =
        ours_changed ? digests.ours : digests.theirs;
    if (!digest.empty()) {
      merged.files.push_back({std::string(name), std::string(digest)});
    }
  }
  return merged;
}

}  // namespace anvilloom
