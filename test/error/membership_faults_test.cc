// Guards against a paused process or a partitioned failure domain that stays a
// live member, or that does not rejoin afterwards.

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

SCENARIO("A paused member rejoins", "[membership]") {
  const auto row = GENERATE(table<std::size_t, int, bool>(
      {{7, 1, false}, {7, 3, false}, {7, 60, true}, {50, 60, true}}));
  const auto members = std::get<0>(row);
  const auto paused_s = std::get<1>(row);
  const auto dropped = std::get<2>(row);
  GIVEN("a fleet of " << members << " with a member paused for " << paused_s
                      << " s") {
    membership_fleet_options options;
    options.members = members;
    options.seed = 11;
    membership_fleet fleet(options);
    REQUIRE(fleet.RunUntil([&] { return fleet.Converged(); }, 60 * kSecond));
    fleet.Run(20 * kSecond);
    fleet.ResetCounts();
    fleet.Pause(2);
    fleet.Run(paused_s * kSecond);
    const bool was_dropped = fleet.AllDropped(2);

    WHEN("it resumes") {
      fleet.Continue(2);
      const auto back =
          fleet.RunUntil([&] { return fleet.Converged(); }, 30 * kSecond);

      THEN("all members see it alive, and it declares no member failed") {
        REQUIRE(back.has_value());
        std::cout << "members=" << members << " paused_s=" << paused_s
                  << " dropped=" << was_dropped
                  << " rejoin_s=" << Seconds(*back) << '\n';
        REQUIRE(fleet.false_failures() == 0);
        REQUIRE(was_dropped == dropped);
      }
    }
  }
}

SCENARIO("A failure domain is partitioned and reconnected", "[membership]") {
  const auto row =
      GENERATE(table<std::size_t, std::size_t, int>({{7, 3, 60}, {50, 5, 60}}));
  const auto members = std::get<0>(row);
  const auto domains = std::get<1>(row);
  const auto partition_s = std::get<2>(row);
  GIVEN("a fleet of " << members << " in " << domains << " domains") {
    membership_fleet_options options;
    options.members = members;
    options.domains = domains;
    options.loss_permille = 10;
    options.seed = 13;
    membership_fleet fleet(options);
    REQUIRE(fleet.RunUntil([&] { return fleet.Converged(); }, 60 * kSecond));
    fleet.Run(20 * kSecond);
    fleet.ResetCounts();
    fleet.PartitionDomain(1);
    const auto split = fleet.RunUntil(
        [&] { return fleet.at(0).live_count() <= members - members / domains; },
        60 * kSecond);
    fleet.Run(partition_s * kSecond);

    WHEN("the partition heals") {
      REQUIRE(split.has_value());
      const std::size_t seen = fleet.at(0).live_count();
      fleet.Heal();
      const auto back =
          fleet.RunUntil([&] { return fleet.Converged(); }, 120 * kSecond);

      THEN("both sides see all members again") {
        REQUIRE(back.has_value());
        std::cout << "members=" << members << " split_s=" << Seconds(*split)
                  << " seen_during_cut=" << seen << " heal_s=" << Seconds(*back)
                  << " false_failures=" << fleet.false_failures() << '\n';
      }
    }
  }
}

}  // namespace anvilloom
