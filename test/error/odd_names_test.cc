// Guards against an entry of another writer that keeps restarted gateways from
// learning of the upstreams behind it in the store.

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "test/support/platform_system.h"

namespace anvilloom {

SCENARIO("Gateways that are restarted beside an odd entry learn of all",
         "[odd_names]") {
  // Without encoding, the list would go on behind "e" or "e ", or not at all.
  for (const std::string_view odd :
       {"e!6 odd", "e&odd", "e%20", "e+odd", "e#odd", "e!6\nodd", "e!6\"odd"}) {
    GIVEN("a page of the list that ends with the name " + std::string(odd)) {
      platform_system system;
      system.PutManifest();
      // A page of the stand-in has eight entries; the upstream is behind it.
      for (int i = 0; i < 7; ++i) {
        system.Announce("e!" + std::to_string(i), "desk", 1, "asleep");
      }
      system.Announce(odd, "desk", 1, "asleep");
      system.StartUpstream("u1", "desk");
      std::uint16_t port = system.StartGateway("g1");
      REQUIRE(system.AwaitReady("g1"));
      WHEN("the gateway is killed and started again") {
        system.process("g1").Kill();
        port = system.StartGateway("g1");
        REQUIRE(system.AwaitReady("g1"));
        THEN("it calls the upstream") {
          REQUIRE(system.AwaitUpstreams("g1", 1));
          REQUIRE(Eventually(
              [&] { return system.CallOnce(port, "/safe/1").status == 200; },
              std::chrono::seconds(10)));
        }
      }
    }
  }
}

}  // namespace anvilloom
