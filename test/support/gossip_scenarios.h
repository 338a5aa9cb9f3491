// Defines what the simulated stories of store_gossip have in common.
#ifndef TEST_SUPPORT_GOSSIP_SCENARIOS_H_
#define TEST_SUPPORT_GOSSIP_SCENARIOS_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "test/support/gossip_fleet.h"

namespace anvilloom {

inline constexpr duration kApplyTime = std::chrono::seconds(2);
// Changes must take effect well within half of the time that they may take.
inline constexpr duration kSpreadLimit = kApplyTime / 2;

inline gossip_fleet_options Options(std::size_t instances,
                                    std::uint64_t seed = 1) {
  gossip_fleet_options options;
  options.instances = instances;
  options.apply_time = kApplyTime;
  options.seed = seed;
  return options;
}

// Lets all instances learn of the initial manifest.
inline void Settle(gossip_fleet& fleet) {
  fleet.Run(std::chrono::seconds(3));
  REQUIRE(fleet.AllHaveManifest());
  REQUIRE(fleet.NoneInDoubt());
  fleet.ResetTraffic();
}

// Writes a manifest and drains an upstream; returns whether all instances that
// run know both within the limit.
inline bool Spreads(gossip_fleet& fleet, std::size_t upstream, duration limit) {
  fleet.PutUpstream(upstream);
  fleet.Run(limit);
  fleet.PutManifest();
  fleet.PutUpstream(upstream, true);
  return fleet
      .RunUntil(
          [&] {
            return fleet.AllHaveManifest() && fleet.AllUse(upstream, false);
          },
          limit)
      .has_value();
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_GOSSIP_SCENARIOS_H_
