#include "test/support/fleet_lifecycle.h"

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

fleet_lifecycle RunFleetLifecycle(const fleet_size& size) {
  fleet_lifecycle lifecycle;
  membership_fleet_options options;
  options.members = size.members;
  options.domains = size.domains;
  options.loss_permille = size.loss_permille;
  options.seed = 7 + size.members;
  membership_fleet fleet(options);
  const std::size_t failed_member = size.members / 3;

  const auto joined =
      fleet.RunUntil([&] { return fleet.Converged(); }, 120 * kSecond);
  REQUIRE(joined.has_value());
  // Waits until the join updates are no longer retransmitted.
  fleet.Run(90 * kSecond);
  fleet.ResetCounts();
  fleet.Run(20 * kSecond);
  lifecycle.bytes_per_second = fleet.sent_bytes_per_second();
  lifecycle.largest_message_bytes = fleet.largest_message();
  lifecycle.false_failures_at_rest = fleet.false_failures();
  const std::size_t false_suspicions = fleet.false_suspicions();

  fleet.Kill(failed_member);
  const auto detected = fleet.RunUntil(
      [&] { return fleet.AllDropped(failed_member); }, 60 * kSecond);
  REQUIRE(detected.has_value());
  fleet.Restart(failed_member);
  const auto back =
      fleet.RunUntil([&] { return fleet.Converged(); }, 60 * kSecond);
  REQUIRE(back.has_value());
  fleet.Run(10 * kSecond);
  fleet.Leave(failed_member);
  const auto dropped = fleet.RunUntil(
      [&] { return fleet.AllDropped(failed_member); }, 60 * kSecond);
  REQUIRE(dropped.has_value());
  std::cout << "members=" << size.members
            << " loss_permille=" << size.loss_permille
            << " join_s=" << Seconds(*joined)
            << " sent_bytes_per_s=" << lifecycle.bytes_per_second
            << " largest_message=" << lifecycle.largest_message_bytes
            << " suspicions=" << false_suspicions
            << " detect_all_s=" << Seconds(*detected)
            << " restart_s=" << Seconds(*back)
            << " leave_s=" << Seconds(*dropped)
            << " false_failures=" << fleet.false_failures() << '\n';
  lifecycle.false_failures = fleet.false_failures();
  lifecycle.detected = *detected;
  lifecycle.dropped = *dropped;
  return lifecycle;
}

void RequireFleetHealthy(const fleet_lifecycle& lifecycle,
                         const fleet_size& size) {
  REQUIRE(lifecycle.false_failures_at_rest == 0);
  REQUIRE(lifecycle.false_failures == 0);
  // A quarter of the 13 KB/s allowed for all control traffic of an instance in
  // both directions.
  REQUIRE(lifecycle.bytes_per_second < 3'250);
  REQUIRE(lifecycle.largest_message_bytes < 1'500);
  REQUIRE(lifecycle.detected < size.detect_limit_s * kSecond);
  REQUIRE(lifecycle.dropped < 6 * kSecond);
}

}  // namespace anvilloom
