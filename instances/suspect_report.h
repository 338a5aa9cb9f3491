// Defines suspect_report, what an instance tells the others about a part of
// prompts that may crash upstreams.
#ifndef INSTANCES_SUSPECT_REPORT_H_
#define INSTANCES_SUSPECT_REPORT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "common/time.h"

namespace anvilloom {

// Instances have no common clock, so reports carry ages instead of times.
struct suspect_report {
  // An upstream that ended before it had answered a call with the part.
  struct crash {
    std::uint64_t upstream_hash = 0;
    std::uint64_t call_hash = 0;
    duration age{0};
  };

  // Hash of the service and the part.
  std::uint64_t part = 0;
  // Age of the latest answer to a call with the part, if there was one.
  std::optional<duration> answered_age;
  // Age of the latest trial of the part, if there was one.
  std::optional<duration> tried_age;
  std::vector<crash> crashes;
  // Whether the part is blocked. Only stored: from a report, each instance
  // draws its own conclusion.
  bool blocked = false;
};

// An upstream that ended, whatever the parts of its calls.
struct upstream_end {
  std::uint64_t upstream_hash = 0;
  duration age{0};
};

// What is known of the parts that may crash upstreams, with the ends of
// upstreams that they have to explain.
struct suspect_evidence {
  std::vector<suspect_report> suspects;
  std::vector<upstream_end> ends;
};

// Maximum number of crashes that are kept for a part. More than a part causes
// before it is blocked, together with the calls that are then in flight.
inline constexpr std::size_t kCrashesPerSuspect = 16;
// Maximum number of parts in one report, and of crashes from which on no
// further part is added. Up to about 1,200 bytes, which fit into one packet.
inline constexpr std::size_t kSuspectsPerReport = 16;
inline constexpr std::size_t kCrashesPerReport = 24;

// Returns the number of suspects at the front of a list, at least one unless it
// is empty, that fit into one report.
inline std::size_t CountForOneReport(std::span<const suspect_report> suspects) {
  std::size_t count = 0;
  std::size_t crashes = 0;
  while (count < std::min(suspects.size(), kSuspectsPerReport) &&
         crashes < kCrashesPerReport) {
    crashes += suspects[count].crashes.size();
    ++count;
  }
  return count;
}

}  // namespace anvilloom

#endif  // INSTANCES_SUSPECT_REPORT_H_
