// Defines fleet_story, a membership_fleet from its joins to the loss of a
// member, and the checks on it, for the tests of small and of large fleets.
#ifndef TEST_SUPPORT_FLEET_STORY_H_
#define TEST_SUPPORT_FLEET_STORY_H_

#include <cstddef>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// A size of fleet, with the time within which a failed member must be found.
struct fleet_size {
  std::size_t members;
  std::size_t domains;
  std::uint32_t loss_permille;
  int detect_limit_s;
};

// What was measured.
struct fleet_story {
  // Encoded bytes of a member in a second, and of the largest message, at rest.
  double sent = 0;
  double largest = 0;
  // Running members declared failed, at rest and in all.
  std::size_t false_failures_at_rest = 0;
  std::size_t false_failures = 0;
  // Until every member had dropped the one that failed, and the one that left.
  duration detected{0};
  duration dropped{0};
};

// Lets a fleet join and rest; then one member fails, restarts and leaves. Each
// step must end within its limit. Prints the figures.
fleet_story RunFleetStory(const fleet_size& size);

// Requires that no running member was declared failed, that the traffic is
// small, and that the lost member was found in time.
void RequireHealthy(const fleet_story& story, const fleet_size& size);

}  // namespace anvilloom

#endif  // TEST_SUPPORT_FLEET_STORY_H_
