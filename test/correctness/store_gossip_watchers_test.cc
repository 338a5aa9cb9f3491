// Guards against instances that stay without a confirmed view for long after
// the store is back, since all of them wait before they read it again.

#include <catch2/catch.hpp>

#include "test/support/gossip_scenarios.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;

}  // namespace

// Guards against instances that all wait for long before they read the store
// again because their reads have failed at the same time.
SCENARIO("The store is away for a few seconds and its watchers stop",
         "[store_gossip]") {
  const auto size = GENERATE(as<std::size_t>(), 7, 60, 300, 1000);
  const auto away =
      GENERATE(milliseconds(1700), milliseconds(3000), milliseconds(6000));
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3);
  GIVEN(size << " instances without the store for " << away.count()
             << " ms, with seed " << seed) {
    gossip_fleet fleet(Options(size, seed));
    Settle(fleet);
    fleet.SetAllStoreReachable(false);
    fleet.Run(away);

    WHEN("it is back after all watchers have stopped") {
      for (std::size_t i = 0; i < 3; ++i) {
        fleet.Stop(i);
      }
      fleet.SetAllStoreReachable(true);
      fleet.PutManifest();

      THEN("all instances have the newest manifest, without doubt, in time") {
        const auto took = fleet.RunUntil(
            [&] { return fleet.AllHaveManifest() && fleet.NoneInDoubt(); },
            kApplyTime);
        REQUIRE(took.has_value());
      }
    }
  }
}

}  // namespace anvilloom
