// Guards the failure detector at the sizes of the target: the time to find a
// failed member grows with the logarithm of the fleet, and the traffic of a
// member does not grow. The small sizes are in correctness/membership_test.

#include <catch2/catch.hpp>

#include "test/support/fleet_story.h"

namespace anvilloom {

SCENARIO("A large fleet finds the members that fail", "[membership]") {
  const auto size =
      GENERATE(fleet_size{200, 12, 20, 20}, fleet_size{400, 23, 20, 20});
  GIVEN("a fleet of " << size.members << " with " << size.loss_permille
                      << " permille loss") {
    // One story for each size, since joining is the slowest part to simulate.
    WHEN("it joins, rests, and one member fails, restarts and leaves") {
      const fleet_story story = RunFleetStory(size);

      THEN("no running member was declared failed") {
        RequireHealthy(story, size);
      }
    }
  }
}

}  // namespace anvilloom
