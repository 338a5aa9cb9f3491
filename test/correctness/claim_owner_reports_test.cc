// Guards at-most-once calls against false reports that an owner is gone:
// explores every interleaving in which an owner that still runs may be reported
// gone.

#include <catch2/catch.hpp>
#include <variant>

#include "test/support/claim_explorer.h"

namespace anvilloom {

namespace {

struct close_before_send_end : full_claim_policy {
  static constexpr bool kWaitsForSendEnd = false;
};

exploration WithOwnerReports() {
  exploration limits = TwoAttempts();
  limits.faults = 1;
  limits.owner_reports = true;
  return limits;
}

}  // namespace

SCENARIO("A false report about an owner causes no operation to be sent twice",
         "[claim_owner_reports]") {
  GIVEN("two attempts, one fault and reports that may be false") {
    THEN("no reachable state violates the protocol") {
      const exploration_result found =
          Explore<full_claim_policy>("owner reports", WithOwnerReports());
      CHECK(Name(found.first) == "none");
      CHECK(found.duplicate_got_answer);
      CHECK(found.reported_unknown);
    }
    WHEN("an observer does not wait until the owner can no longer send") {
      exploration limits = WithOwnerReports();
      limits.target_violation = violation::kSendWithoutClaim;

      THEN("the owner sends after its claim was closed") {
        CHECK(Explore<close_before_send_end>("no wait", limits).first ==
              violation::kSendWithoutClaim);
      }
    }
  }
}

SCENARIO("A duplicate learns the outcome as soon as it is known",
         "[claim_owner_reports]") {
  GIVEN("a duplicate that watches a claim whose owner has a deadline of 10 s") {
    const time_point start = At(0);
    const claim_settings terms;
    claim_attempt<> duplicate({"b", "entry-b.2", "digest"}, terms,
                              deadline::After(start, std::chrono::seconds(9)));
    duplicate.Start(start);
    duplicate.OnWritten(start, {claim_write_outcome::kConflict});
    versioned_claim seen;
    seen.version = 1;
    seen.record.attempt = "a";
    seen.record.owner = "entry-a.1";
    seen.record.request_digest = "digest";
    // The send window of 2 s, the owner's 10 s and the record limit of 2 s.
    seen.record.lease = std::chrono::seconds(14);
    duplicate.OnRead(start, seen);

    WHEN("the owner is gone and can no longer send") {
      seen.owner_gone = true;
      const time_point later = start + terms.send_window;
      duplicate.OnWaited(later);
      const claim_effect next = duplicate.OnRead(later, seen);

      THEN("the claim is closed without waiting for its lease") {
        REQUIRE(std::holds_alternative<update_claim>(next));
        const claim_effect effect =
            duplicate.OnWritten(later, {claim_write_outcome::kApplied, 2});
        REQUIRE(std::get<return_refusal>(effect).reason.code ==
                refusal_code::kOutcomeUnknown);
      }
    }
    WHEN("its own deadline interrupts a read") {
      const time_point later = start + std::chrono::seconds(9);
      duplicate.OnWaited(later);
      const claim_effect effect = duplicate.OnRead(later, claim_unreadable{});

      THEN("the refusal does not say that the store is unavailable") {
        const refusal& reason = std::get<return_refusal>(effect).reason;
        REQUIRE(reason.code == refusal_code::kDeadlineExceeded);
        REQUIRE(reason.ran == outcome::kUnknown);
      }
    }
  }
}

}  // namespace anvilloom
