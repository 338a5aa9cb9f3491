// Guards the failure detector at the sizes of the target: the time to find a
// failed member grows with the logarithm of the fleet, and the traffic of a
// member does not grow. The small sizes are in correctness/membership_test.

#include <catch2/catch.hpp>
#include <iostream>
#include <tuple>

#include "test/support/membership_fleet.h"

namespace anvilloom {

namespace {

constexpr duration kSecond = std::chrono::seconds(1);

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

SCENARIO("A large fleet finds the members that fail", "[membership]") {
  const auto row =
      GENERATE(table<std::size_t, std::size_t, std::uint32_t, int>({
          {200, 12, 20, 20},
          {400, 23, 20, 20},
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

}  // namespace anvilloom
