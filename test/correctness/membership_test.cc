// Guards against a failure detector that takes too long to detect a failed
// member, that declares running members failed, or whose traffic per member
// grows with the fleet.

#include <catch2/catch.hpp>

#include "test/support/fleet_lifecycle.h"
#include "test/support/membership_fleet.h"
#include "wire/peer_codec.h"

namespace anvilloom {

namespace {

constexpr duration kSecond = std::chrono::seconds(1);

std::size_t EncodedSize(const member_update& update) {
  membership_message message;
  peer_message wrapped;
  wrapped.body = message;
  const std::size_t without = EncodePeerMessage(wrapped).size();
  message.updates.push_back(update);
  wrapped.body = message;
  return EncodePeerMessage(wrapped).size() - without;
}

}  // namespace

SCENARIO("A fleet detects failed members", "[membership]") {
  const auto size = GENERATE(fleet_size{7, 3, 0, 12}, fleet_size{7, 3, 20, 12},
                             fleet_size{50, 5, 20, 16});
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

SCENARIO("The new run of a member is known before the old one is dropped",
         "[membership]") {
  GIVEN("a fleet in which a member restarts at once") {
    membership_fleet fleet({});
    REQUIRE(fleet.RunUntil([&] { return fleet.Converged(); }, 30 * kSecond));
    fleet.Kill(3);
    fleet.Restart(3);

    THEN("its new epoch reaches all members") {
      REQUIRE(fleet.RunUntil([&] { return fleet.Converged(); }, 15 * kSecond));
    }
  }
}

SCENARIO("The size bound of an update holds for its encoding", "[membership]") {
  const auto state = GENERATE(member_state::kAlive, member_state::kSuspect,
                              member_state::kFailed, member_state::kLeft);
  GIVEN("an update with large numbers") {
    member_update update;
    update.profile = {"entry-1", "10.0.0.1:7000", "10.0.0.1:8080",
                      "zone-a",  "0011aabb",      true};
    update.state = state;
    update.incarnation = UINT64_MAX;

    THEN("it is not larger than the bound") {
      REQUIRE(EncodedSize(update) <= MaxEncodedSize(update));
    }
  }
}

}  // namespace anvilloom
