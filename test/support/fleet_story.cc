#include "test/support/fleet_story.h"

#include <catch2/catch.hpp>
#include <iostream>

#include "test/support/membership_fleet.h"

namespace anvilloom {

namespace {

constexpr duration kSecond = std::chrono::seconds(1);

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

fleet_story RunFleetStory(const fleet_size& size) {
  fleet_story story;
  fleet_plan plan;
  plan.members = size.members;
  plan.domains = size.domains;
  plan.loss_permille = size.loss_permille;
  plan.seed = 7 + size.members;
  membership_fleet fleet(plan);
  const std::size_t victim = size.members / 3;

  const auto joined =
      fleet.RunUntil([&] { return fleet.Converged(); }, 120 * kSecond);
  REQUIRE(joined.has_value());
  // The updates of the joins are still being spread.
  fleet.Run(90 * kSecond);
  fleet.ResetCounts();
  fleet.Run(20 * kSecond);
  story.sent = fleet.sent_bytes_per_second();
  story.largest = fleet.largest_message();
  story.false_failures_at_rest = fleet.false_failures();
  const std::size_t false_suspicions = fleet.false_suspicions();

  fleet.Kill(victim);
  const auto detected =
      fleet.RunUntil([&] { return fleet.AllDropped(victim); }, 60 * kSecond);
  REQUIRE(detected.has_value());
  fleet.Restart(victim);
  const auto back =
      fleet.RunUntil([&] { return fleet.Converged(); }, 60 * kSecond);
  REQUIRE(back.has_value());
  fleet.Run(10 * kSecond);
  fleet.Leave(victim);
  const auto dropped =
      fleet.RunUntil([&] { return fleet.AllDropped(victim); }, 60 * kSecond);
  REQUIRE(dropped.has_value());
  std::cout << "members=" << size.members
            << " loss_permille=" << size.loss_permille
            << " join_s=" << Seconds(*joined)
            << " sent_bytes_per_s=" << story.sent
            << " largest_message=" << story.largest
            << " suspicions=" << false_suspicions
            << " detect_all_s=" << Seconds(*detected)
            << " restart_s=" << Seconds(*back)
            << " leave_s=" << Seconds(*dropped)
            << " false_failures=" << fleet.false_failures() << '\n';
  story.false_failures = fleet.false_failures();
  story.detected = *detected;
  story.dropped = *dropped;
  return story;
}

void RequireHealthy(const fleet_story& story, const fleet_size& size) {
  REQUIRE(story.false_failures_at_rest == 0);
  REQUIRE(story.false_failures == 0);
  // A quarter of the 13 KB/s that all control traffic of a node may take
  // in both directions.
  REQUIRE(story.sent < 3'250);
  REQUIRE(story.largest < 1'500);
  REQUIRE(story.detected < size.detect_limit_s * kSecond);
  REQUIRE(story.dropped < 6 * kSecond);
}

}  // namespace anvilloom
