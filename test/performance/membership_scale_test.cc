// Guards the failure detector at the target fleet sizes: the time to detect a
// failed member grows only with the logarithm of the fleet size, and the
// traffic per member does not grow. correctness/membership_test covers small
// fleets.

#include <catch2/catch.hpp>

#include "test/support/fleet_lifecycle.h"

namespace anvilloom {

SCENARIO("A large fleet detects failed members", "[membership]") {
  const auto size =
      GENERATE(fleet_size{200, 12, 20, 20}, fleet_size{400, 23, 20, 20});
  GIVEN("a fleet of " << size.members << " with " << size.loss_permille
                      << " permille loss") {
    // One run covers all phases, since joining is the slowest part to simulate.
    WHEN("it joins, idles, and one member fails, restarts and leaves") {
      const fleet_lifecycle lifecycle = RunFleetLifecycle(size);

      THEN("no running member was declared failed") {
        RequireFleetHealthy(lifecycle, size);
      }
    }
  }
}

}  // namespace anvilloom
