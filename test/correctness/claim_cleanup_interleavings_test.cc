// Guards against clean-up breaking at-most-once calls: explores every
// interleaving of three attempts, one of which may begin after the clean-up has
// deleted the claim.

#include <catch2/catch.hpp>

#include "test/support/claim_explorer.h"

namespace anvilloom {

SCENARIO("No interleaving of three attempts sends an operation twice",
         "[claim_interleavings]") {
  GIVEN("three attempts with pauses past the lease and clean-up") {
    const exploration_result found =
        Explore<full_claim_policy>("three attempts", ThreeAttempts());

    THEN("no state violates the protocol") {
      CHECK(Name(found.first) == "none");
      CHECK(found.duplicate_got_answer);
      CHECK(found.reported_unknown);
    }
  }

  GIVEN("three attempts with one fault") {
    exploration limits = ThreeAttempts();
    limits.last_tick = 4;
    limits.last_start = 0;
    limits.faults = 1;
    limits.retention = 0;
    const exploration_result found =
        Explore<full_claim_policy>("three attempts, one fault", limits);

    THEN("no state violates the protocol") {
      CHECK(Name(found.first) == "none");
    }
  }
}

}  // namespace anvilloom
