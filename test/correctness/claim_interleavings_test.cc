// Guards against operations that are sent more than once: explores every
// interleaving of two attempts at one operation, and checks that the
// exploration finds a violation when any one mechanism of the claim protocol is
// disabled.

#include <catch2/catch.hpp>

#include "test/support/claim_explorer.h"

namespace anvilloom {

namespace {

struct no_send_deadline : full_claim_policy {
  static constexpr bool kSendDeadline = false;
};
struct no_read_back : full_claim_policy {
  static constexpr bool kReadBack = false;
};
struct no_attempt_token : full_claim_policy {
  static constexpr bool kAttemptToken = false;
};
struct no_final_unknown : full_claim_policy {
  static constexpr bool kUnknownIsFinal = false;
};
struct not_run_after_send : full_claim_policy {
  static constexpr bool kNotRunOnlyIfUnsent = false;
};

}  // namespace

SCENARIO("No interleaving of attempts sends an operation twice",
         "[claim_interleavings]") {
  GIVEN("two attempts and two faults of store, upstream or instance") {
    const exploration_result found =
        Explore<full_claim_policy>("two attempts", TwoAttempts());

    THEN("no state violates the protocol, and every result is reached") {
      CHECK(Name(found.first) == "none");
      CHECK(found.duplicate_got_answer);
      CHECK(found.reported_unknown);
      CHECK(found.reported_not_run);
      CHECK(found.ran_after_not_run);
      CHECK(found.unknown_became_done);
    }
  }
}

SCENARIO("Each mechanism of the claim protocol is needed",
         "[claim_interleavings]") {
  exploration limits = TwoAttempts();

  WHEN("the owner ignores its send deadline") {
    THEN("it sends after an observer has closed the claim") {
      limits.target_violation = violation::kSendWithoutClaim;
      CHECK(Explore<no_send_deadline>("no send deadline", limits).first ==
            violation::kSendWithoutClaim);
    }
    THEN("it sends after its claim was deleted and the key used again") {
      limits = ThreeAttempts();
      limits.target_violation = violation::kSecondSend;
      CHECK(Explore<no_send_deadline>("no send deadline, clean-up", limits)
                .first == violation::kSecondSend);
    }
  }
  WHEN("an ambiguous create is treated as applied") {
    limits.target_violation = violation::kSecondSend;
    THEN("two attempts send") {
      CHECK(Explore<no_read_back>("no read-back", limits).first ==
            violation::kSecondSend);
    }
  }
  WHEN("an attempt treats a claim without its token as its own") {
    limits.target_violation = violation::kSecondSend;
    THEN("two attempts send") {
      CHECK(Explore<no_attempt_token>("no attempt token", limits).first ==
            violation::kSecondSend);
    }
  }
  WHEN("an observer takes over an abandoned claim") {
    limits.target_violation = violation::kSecondSend;
    THEN("two attempts send") {
      CHECK(Explore<no_final_unknown>("unknown is not final", limits).first ==
            violation::kSecondSend);
    }
  }
  WHEN("a failure after the first byte is reported as not run") {
    limits.target_violation = violation::kFalseNotRun;
    THEN("the caller is given a false outcome") {
      CHECK(Explore<not_run_after_send>("not run after a send", limits).first ==
            violation::kFalseNotRun);
    }
  }
  WHEN("the store creates an object although it already exists") {
    limits.conditional_create = false;
    limits.target_violation = violation::kSecondSend;
    THEN("two attempts send") {
      CHECK(Explore<full_claim_policy>("unconditional create", limits).first ==
            violation::kSecondSend);
    }
  }
  WHEN("the store ignores the version of an update") {
    limits.conditional_update = false;
    limits.target_violation = violation::kLostResult;
    THEN("a stored result is overwritten") {
      CHECK(Explore<full_claim_policy>("unconditional update", limits).first ==
            violation::kLostResult);
    }
  }
}

}  // namespace anvilloom
