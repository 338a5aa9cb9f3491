// Guards at-most-once calls against wrong reports about owners: explores every
// interleaving in which an owner that still runs may be reported gone.

#include <catch2/catch.hpp>
#include <variant>

#include "test/support/claim_explorer.h"

namespace anvilloom {

namespace {

struct no_wait_for_send_end : full_claim_policy {
  static constexpr bool kWaitsForSendEnd = false;
};

exploration WithOwnerReports() {
  exploration limits = TwoAttempts();
  limits.faults = 1;
  limits.owner_reports = true;
  return limits;
}

}  // namespace

SCENARIO("A wrong report about an owner sends no operation twice",
         "[claim_owner_reports]") {
  GIVEN("two attempts, one fault and reports that may be wrong") {
    THEN("every state is right") {
      const findings found =
          Explore<full_claim_policy>("owner reports", WithOwnerReports());
      CHECK(Name(found.first) == "none");
      CHECK(found.duplicate_got_answer);
      CHECK(found.told_unknown);
    }
    WHEN("an observer does not wait until the owner can't send any more") {
      exploration limits = WithOwnerReports();
      limits.wanted = violation::kSendWithoutClaim;

      THEN("the owner sends after its claim was closed") {
        CHECK(Explore<no_wait_for_send_end>("no wait", limits).first ==
              violation::kSendWithoutClaim);
      }
    }
  }
}

SCENARIO("A duplicate is told what is known as soon as it is known",
         "[claim_owner_reports]") {
  GIVEN("a duplicate that watches the claim of an owner of 10 s") {
    const time_point begun = At(0);
    const claim_terms terms;
    claim_attempt<> duplicate({"b", "entry-b.2", "digest"}, terms,
                              deadline::After(begun, std::chrono::seconds(9)));
    duplicate.Start(begun);
    duplicate.OnWritten(begun, {claim_write_outcome::kConflict});
    seen_claim seen;
    seen.version = 1;
    seen.record.attempt = "a";
    seen.record.owner = "entry-a.1";
    seen.record.request_digest = "digest";
    seen.record.lease = std::chrono::seconds(14);
    duplicate.OnRead(begun, seen);

    WHEN("the owner is gone and can't send any more") {
      seen.owner_gone = true;
      const time_point later = begun + terms.send_window;
      duplicate.OnWaited(later);
      const claim_effect next = duplicate.OnRead(later, seen);

      THEN("the claim is closed without waiting for its lease") {
        REQUIRE(std::holds_alternative<update_claim>(next));
        const claim_effect told =
            duplicate.OnWritten(later, {claim_write_outcome::kApplied, 2});
        REQUIRE(std::get<tell_refusal>(told).why.code ==
                refusal_code::kOutcomeUnknown);
      }
    }
    WHEN("its own deadline cuts a read short") {
      const time_point later = begun + std::chrono::seconds(9);
      duplicate.OnWaited(later);
      const claim_effect told = duplicate.OnRead(later, claim_unreadable{});

      THEN("the store is not blamed") {
        const refusal& why = std::get<tell_refusal>(told).why;
        REQUIRE(why.code == refusal_code::kDeadlineExceeded);
        REQUIRE(why.ran == outcome::kUnknown);
      }
    }
  }
}

}  // namespace anvilloom
