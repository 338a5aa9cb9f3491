// Defines fleet_lifecycle, the measurements of a membership_fleet from joining
// to the loss of a member, and the checks on them, for small and large fleets.
#ifndef TEST_SUPPORT_FLEET_LIFECYCLE_H_
#define TEST_SUPPORT_FLEET_LIFECYCLE_H_

#include <cstddef>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// Size of a fleet, and the limit for the time to detect a failed member.
struct fleet_size {
  std::size_t members;
  std::size_t domains;
  std::uint32_t loss_permille;
  int detect_limit_s;
};

// Measurements of one run.
struct fleet_lifecycle {
  // Encoded bytes sent per second by each member, and size of the largest
  // message in bytes, while the fleet is idle.
  double bytes_per_second = 0;
  double largest_message_bytes = 0;
  // Running members declared failed while the fleet is idle, and in total.
  std::size_t false_failures_at_rest = 0;
  std::size_t false_failures = 0;
  // Time until every member had dropped the failed member, and the one that
  // left.
  duration detected{0};
  duration dropped{0};
};

// Simulates a fleet that joins and idles; then one member fails, restarts and
// leaves. Each step must complete within its limit. Prints the measurements.
fleet_lifecycle RunFleetLifecycle(const fleet_size& size);

// Requires that no running member was declared failed, that the traffic is
// below its limit, and that the lost member was detected in time.
void RequireFleetHealthy(const fleet_lifecycle& lifecycle,
                         const fleet_size& size);

}  // namespace anvilloom

#endif  // TEST_SUPPORT_FLEET_LIFECYCLE_H_
