#include "ctl/configuration_merge.h"

#include <map>
#include <string_view>

namespace anvilloom {

namespace {

// The digests of one file on the three sides; an empty view where it is
// absent.
struct three_sides {
  std::string_view base;
  std::string_view theirs;
  std::string_view ours;
};

using sides_by_name = std::map<std::string_view, three_sides>;

void Collect(std::span<const manifest_entry> files,
             std::string_view three_sides::*side,
             sides_by_name& into) {
  for (const manifest_entry& file : files) {
    into[file.name].*side = file.digest;
  }
}

}  // namespace

manifest_merge MergeManifests(std::span<const manifest_entry> base,
                              std::span<const manifest_entry> theirs,
                              std::span<const manifest_entry> ours) {
  sides_by_name by_name;
  Collect(base, &three_sides::base, by_name);
  Collect(theirs, &three_sides::theirs, by_name);
  Collect(ours, &three_sides::ours, by_name);
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
