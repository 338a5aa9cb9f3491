// Guards at-most-once calls against clean-up: explores every interleaving of
// three attempts, of which one may begin after the claim was deleted.

#include <catch2/catch.hpp>

#include "test/support/claim_explorer.h"

namespace anvilloom {

SCENARIO("No interleaving of three attempts sends an operation twice",
         "[claim_interleavings]") {
  GIVEN("three attempts with pauses past the lease and clean-up") {
    const findings found =
        Explore<full_claim_policy>("three attempts", ThreeAttempts());

    THEN("every state is right") {
      CHECK(Name(found.first) == "none");
      CHECK(found.duplicate_got_answer);
      CHECK(found.told_unknown);
    }
  }

  GIVEN("three attempts with one fault") {
    exploration limits = ThreeAttempts();
    limits.last_tick = 4;
    limits.last_start = 0;
    limits.faults = 1;
    limits.retention = 0;
    const findings found =
        Explore<full_claim_policy>("three attempts, one fault", limits);

    THEN("every state is right") {
      CHECK(Name(found.first) == "none");
    }
  }
}

}  // namespace anvilloom
