// Guards the failure detector: every failed member is found within seconds, no
// running member is declared failed, and the traffic of a member does not grow
// with the fleet.

#include <catch2/catch.hpp>
#include <iostream>
#include <tuple>

#include "test/support/membership_fleet.h"
#include "wire/peer_codec.h"

namespace anvilloom {

namespace {

constexpr duration kSecond = std::chrono::seconds(1);

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

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

SCENARIO("A fleet finds the members that fail", "[membership]") {
  const auto row =
      GENERATE(table<std::size_t, std::size_t, std::uint32_t, int>({
          {7, 3, 0, 12},
          {7, 3, 20, 12},
          {50, 5, 20, 16},
      }));
  const auto members = std::get<0>(row);
  const auto domains = std::get<1>(row);
  const auto loss = std::get<2>(row);
  const auto detect_limit_s = std::get<3>(row);
  GIVEN("a fleet of " << members << " with " << loss << " permille loss") {
    fleet_plan plan;
    plan.members = members;
    plan.domains = domains;
    plan.loss_permille = loss;
    plan.seed = 7 + members;
    membership_fleet fleet(plan);
    const std::size_t victim = members / 3;

    // One story for each size, since joining is the slowest part to simulate.
    WHEN("it joins, rests, and one member fails, restarts and leaves") {
      const auto joined =
          fleet.RunUntil([&] { return fleet.Converged(); }, 120 * kSecond);
      REQUIRE(joined.has_value());
      // The updates of the joins are still being spread.
      fleet.Run(90 * kSecond);
      fleet.ResetCounts();
      fleet.Run(20 * kSecond);
      const double sent = fleet.sent_bytes_per_second();
      const double largest = fleet.largest_message();
      const std::size_t false_failures = fleet.false_failures();
      const std::size_t false_suspicions = fleet.false_suspicions();

      fleet.Kill(victim);
      const auto detected = fleet.RunUntil(
          [&] { return fleet.AllDropped(victim); }, 60 * kSecond);
      REQUIRE(detected.has_value());
      fleet.Restart(victim);
      const auto back =
          fleet.RunUntil([&] { return fleet.Converged(); }, 60 * kSecond);
      REQUIRE(back.has_value());
      fleet.Run(10 * kSecond);
      fleet.Leave(victim);
      const auto dropped = fleet.RunUntil(
          [&] { return fleet.AllDropped(victim); }, 60 * kSecond);
      REQUIRE(dropped.has_value());
      std::cout << "members=" << members << " loss_permille=" << loss
                << " join_s=" << Seconds(*joined)
                << " sent_bytes_per_s=" << sent
                << " largest_message=" << largest
                << " suspicions=" << false_suspicions
                << " detect_all_s=" << Seconds(*detected)
                << " restart_s=" << Seconds(*back)
                << " leave_s=" << Seconds(*dropped)
                << " false_failures=" << fleet.false_failures() << '\n';

      THEN("no running member was declared failed") {
        REQUIRE(false_failures == 0);
        REQUIRE(fleet.false_failures() == 0);
        // A quarter of the 13 KB/s that all control traffic of a node may take
        // in both directions.
        REQUIRE(sent < 3'250);
        REQUIRE(largest < 1'500);
        REQUIRE(*detected < detect_limit_s * kSecond);
        REQUIRE(*dropped < 6 * kSecond);
      }
    }
  }
}

SCENARIO("A restarted member is known by its new run before it is dropped",
         "[membership]") {
  GIVEN("a fleet in which a member restarts at once") {
    membership_fleet fleet({});
    REQUIRE(fleet.RunUntil([&] { return fleet.Converged(); }, 30 * kSecond));
    fleet.Kill(3);
    fleet.Restart(3);

    THEN("its new epoch reaches everyone") {
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
      REQUIRE(EncodedSize(update) <= EncodedBound(update));
    }
  }
}

}  // namespace anvilloom
