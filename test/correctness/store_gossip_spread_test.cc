// Guards against changes of the store that reach an instance late or never, or
// the later the more instances there are.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "test/support/gossip_scenarios.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

SCENARIO("A change spreads among few and many instances", "[store_gossip]") {
  const auto size = GENERATE(as<std::size_t>(), 1, 2, 7, 60, 300, 1000);
  GIVEN(size << " instances, of which three watch the store") {
    gossip_fleet fleet(Options(size));
    Settle(fleet);

    WHEN("nothing changes for ten seconds") {
      fleet.Run(seconds(10));
      const gossip_traffic traffic = fleet.LargestTraffic();

      THEN("one instance at a time confirms the view of all") {
        CAPTURE(fleet.LargestAge().count());
        REQUIRE(fleet.LargestAge() < kApplyTime / 2);
        REQUIRE(fleet.NoneInDoubt());
        // Two calls, each quarter of the apply time, and one reader more in
        // two.
        REQUIRE(fleet.StoreReads() <= 2 * 20 * 3 / 2);
      }

      THEN("no instance sends more than a few hundred bytes a second") {
        CAPTURE(traffic.datagrams, traffic.datagram_bytes);
        REQUIRE(traffic.datagram_bytes / 10 < 3000);
        REQUIRE(traffic.fetches <= 2);
      }
    }

    WHEN("a manifest is written and an upstream leaves") {
      THEN("all instances know it within half of the time") {
        REQUIRE(Spreads(fleet, 0, kSpreadLimit));
      }
    }

    WHEN("two hundred upstreams join and a manifest is written") {
      for (std::size_t i = 0; i < 200; ++i) {
        fleet.PutUpstream(i);
        fleet.Run(milliseconds(2));
      }
      fleet.PutManifest();
      fleet.PutUpstream(0, true);

      THEN("the manifest and the first leaving upstream are known in time") {
        const auto took = fleet.RunUntil(
            [&] { return fleet.AllHaveManifest() && fleet.AllUse(0, false); },
            kSpreadLimit);
        REQUIRE(took.has_value());
        fleet.Run(seconds(1));
        REQUIRE(fleet.AllUse(199, true));
      }

      THEN("nobody reads the store more often, and fetches are few") {
        fleet.Run(seconds(2));
        CAPTURE(fleet.StoreReads(), fleet.LargestTraffic().fetches);
        REQUIRE(fleet.StoreReads() <= 2 * 6 * 3 / 2);
        REQUIRE(fleet.LargestTraffic().fetches <= 20);
      }

      THEN("no instance sends more than the smallest links carry") {
        fleet.Run(seconds(1));
        CAPTURE(fleet.LargestTraffic().datagram_bytes);
        REQUIRE(fleet.LargestTraffic().datagram_bytes < 1'000'000);
      }
    }
  }
}

}  // namespace anvilloom
