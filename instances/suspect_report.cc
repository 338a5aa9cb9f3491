#include "instances/suspect_report.h"

#include <algorithm>
#include <map>

namespace anvilloom {

bool Includes(const suspect_evidence& stored, const suspect_evidence& known) {
  if (stored.ends.size() < known.ends.size()) {
    return false;
  }
  std::map<std::uint64_t, const suspect_report*> by_part;
  for (const suspect_report& each : stored.suspects) {
    for (const std::uint64_t part : each.parts) {
      by_part.emplace(part, &each);
    }
  }
  return std::ranges::all_of(
      known.suspects, [&](const suspect_report& suspect) {
        return std::ranges::all_of(suspect.parts, [&](std::uint64_t part) {
          const auto found = by_part.find(part);
          return found != by_part.end() &&
                 found->second->crashes.size() >= suspect.crashes.size() &&
                 found->second->blocked == suspect.blocked;
        });
      });
}

}  // namespace anvilloom
