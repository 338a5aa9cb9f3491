// Guards against instances that take an outdated manifest for one that is in
// force, or read the store too late or too often, while it, the instances that
// watch it, or other instances can't be reached.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "test/support/gossip_scenarios.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

SCENARIO("The instances that watch the store fail", "[store_gossip]") {
  const auto size = GENERATE(as<std::size_t>(), 7, 60, 300, 1000);
  GIVEN(size << " instances") {
    gossip_fleet fleet(Options(size));
    fleet.PutUpstream(0);
    Settle(fleet);

    WHEN("all three stop at the moment of a change") {
      for (std::size_t i = 0; i < 3; ++i) {
        fleet.Stop(i);
      }
      fleet.PutManifest();
      fleet.PutUpstream(0, true);

      THEN("the others find it before it must be in force everywhere") {
        const auto took = fleet.RunUntil(
            [&] { return fleet.AllHaveManifest() && fleet.AllUse(0, false); },
            kApplyTime * 3 / 4);
        REQUIRE(took.has_value());
        REQUIRE(fleet.unsound() == 0);
      }

      THEN("few of them read the store, and not at once") {
        fleet.Run(seconds(5));
        CAPTURE(fleet.StoreReads(), fleet.LargestReadBurst());
        REQUIRE(fleet.NoneInDoubt());
        REQUIRE(fleet.StoreReads() <=
                std::max<std::size_t>(20, size / 10) * 2 * 5);
        REQUIRE(fleet.LargestReadBurst() <= std::max<std::size_t>(5, size / 5));
      }
    }

    WHEN("the first two stop and the third is slow") {
      fleet.Stop(0);
      fleet.Stop(1);
      fleet.SetSendDelay(2, milliseconds(400));

      THEN("changes are still known in time") {
        fleet.Run(seconds(1));
        REQUIRE(Spreads(fleet, 1, kApplyTime * 3 / 4));
        REQUIRE(fleet.unsound() == 0);
      }
    }
  }
}

SCENARIO("Instances don't hear each other", "[store_gossip]") {
  GIVEN("300 instances in five groups, and the watchers in the first") {
    gossip_fleet fleet(Options(300));
    Settle(fleet);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.SetGroup(i, i < 3 ? 0 : i % 5);
    }
    fleet.Run(seconds(2));

    THEN("changes are known in all groups before they must be in force") {
      for (std::size_t i = 0; i < 5; ++i) {
        CAPTURE(i);
        REQUIRE(Spreads(fleet, i, kApplyTime * 3 / 4));
      }
      REQUIRE(fleet.unsound() == 0);
    }

    THEN("the calls to the store don't grow with the instances") {
      fleet.ResetTraffic();
      fleet.Run(seconds(10));
      CAPTURE(fleet.StoreReads());
      // Twenty reads a second in each group, of two calls.
      REQUIRE(fleet.StoreReads() <= 2000);
    }
  }
}

SCENARIO("The store is unreachable", "[store_gossip]") {
  const auto size = GENERATE(as<std::size_t>(), 7, 300);
  GIVEN(size << " instances, none of which reaches the store") {
    gossip_fleet fleet(Options(size));
    Settle(fleet);
    fleet.SetAllStoreReachable(false);

    THEN("all hold the manifest in doubt before a newer one must be in force") {
      fleet.PutManifest();
      fleet.Run(kApplyTime);
      REQUIRE(fleet.AllInDoubt());
      REQUIRE(fleet.unsound() == 0);
    }

    WHEN("it has been away for twenty seconds") {
      fleet.ResetTraffic();
      fleet.Run(seconds(20));
      CAPTURE(fleet.StoreReads());

      THEN("the attempts to reach it don't grow with the instances") {
        // Ten attempts a second of all, of two calls, and those of the
        // watchers.
        REQUIRE(fleet.StoreReads() <= 1000 + size * 2);
      }

      THEN("all know what has changed soon after it is back") {
        fleet.PutManifest();
        fleet.SetAllStoreReachable(true);
        const auto took = fleet.RunUntil(
            [&] { return fleet.AllHaveManifest() && fleet.NoneInDoubt(); },
            kApplyTime);
        REQUIRE(took.has_value());
      }
    }

    WHEN("one instance in ten reaches it again") {
      fleet.Run(seconds(5));
      for (std::size_t i = 5; i < size; i += 10) {
        fleet.SetStoreReachable(i, true);
      }

      THEN("the others learn from these") {
        fleet.Run(seconds(20));
        REQUIRE(Spreads(fleet, 0, seconds(10)));
        REQUIRE(fleet.unsound() == 0);
      }
    }
  }
}

}  // namespace anvilloom
