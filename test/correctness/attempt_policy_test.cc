// Guards against calls that run twice, and against refusals that state that a
// call did not run although it may have.

#include "links/attempt_policy.h"

#include <catch2/catch.hpp>
#include <tuple>

namespace anvilloom {

namespace {

constexpr time_point kNow{std::chrono::seconds(1000)};

attempt_context MakeContext(attempt_end end, retry_semantics repeat) {
  attempt_context context;
  context.end = end;
  context.repeat = repeat;
  context.may_have_run = MayHaveRun(end);
  context.attempts = 1;
  context.max_attempts = 2;
  context.answer_by = deadline::After(kNow, std::chrono::seconds(1));
  return context;
}

}  // namespace

SCENARIO("The end of an attempt determines the next step of the call",
         "[attempt_policy]") {
  using end = attempt_end;
  using rule = retry_semantics;
  using step = next_step;

  const auto [ended, repeat, expected] = GENERATE(table<end, rule, step>({
      {end::kAnswered, rule::kAtMostOnce, step::kDeliver},
      {end::kAnswered, rule::kRepeatable, step::kDeliver},
      // A call that did not run may be sent elsewhere under any rule.
      {end::kNotRun, rule::kAtMostOnce, step::kRepeat},
      {end::kNotSent, rule::kAtMostOnce, step::kRepeat},
      {end::kNotRun, rule::kRepeatable, step::kRepeat},
      // A call that may have run is repeated only if the rule allows it.
      {end::kLost, rule::kAtMostOnce, step::kFail},
      {end::kTimedOut, rule::kAtMostOnce, step::kFail},
      {end::kLost, rule::kRepeatable, step::kRepeat},
      {end::kTimedOut, rule::kRepeatable, step::kRepeat},
      {end::kLost, rule::kResumable, step::kRepeat},
      // A failure reported by the upstream is an answer.
      {end::kServerError, rule::kAtMostOnce, step::kDeliver},
      {end::kServerError, rule::kRepeatable, step::kRepeat},
      {end::kCallerGone, rule::kRepeatable, step::kAbandon},
  }));
  REQUIRE(DecideAfterAttempt(MakeContext(ended, repeat), kNow) == expected);
}

SCENARIO("A call without a further attempt reports whether it may have run",
         "[attempt_policy]") {
  GIVEN("a call that no upstream ran") {
    attempt_context context =
        MakeContext(attempt_end::kNotRun, retry_semantics::kAtMostOnce);
    context.max_attempts = 1;

    THEN("it is refused as not run") {
      REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kRefuse);
    }

    WHEN("an earlier attempt may have run") {
      context.may_have_run = true;

      THEN("it is not refused as not run") {
        REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kFail);
      }
    }
  }

  GIVEN("a call with a single attempt whose upstream is unreachable") {
    attempt_context context =
        MakeContext(attempt_end::kNotSent, retry_semantics::kAtMostOnce);
    context.attempts = 0;
    context.max_attempts = 1;
    context.unreachable_upstreams = 1;

    THEN("it is sent to another one, which is not charged as a retry") {
      REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kRepeat);
      REQUIRE_FALSE(RepeatAddsLoad(context.end));
    }

    WHEN("too many upstreams are unreachable") {
      context.unreachable_upstreams = kMaxUnreachable + 1;

      THEN("it is refused as not run") {
        REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kRefuse);
      }
    }

    WHEN("an earlier attempt may have run") {
      context.may_have_run = true;

      THEN("it isn't sent again") {
        REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kFail);
      }
    }
  }

  GIVEN("a stream of which the caller has received a part") {
    attempt_context context =
        MakeContext(attempt_end::kServerError, retry_semantics::kResumable);
    context.answer_started = true;
    context.attempts = 2;

    THEN(
        "a failure of the upstream that resumes it is not delivered as the "
        "answer") {
      REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kFail);
    }

    THEN("it is not refused as not run when that upstream refuses it") {
      context.end = attempt_end::kNotRun;
      context.may_have_run = false;
      REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kFail);
    }
  }

  GIVEN("a call whose deadline has passed") {
    attempt_context context =
        MakeContext(attempt_end::kTimedOut, retry_semantics::kRepeatable);
    context.answer_by = deadline(kNow);

    THEN("it is not sent again") {
      REQUIRE(DecideAfterAttempt(context, kNow) == next_step::kTimeOut);
    }
  }

  GIVEN("a repeatable call that the retry budget does not allow to repeat") {
    THEN("a failure reported by the upstream is delivered") {
      REQUIRE(StepWithoutRepeat(MakeContext(attempt_end::kServerError,
                                            retry_semantics::kRepeatable),
                                kNow) == next_step::kDeliver);
    }

    THEN("a lost answer is reported as a failure") {
      REQUIRE(StepWithoutRepeat(
                  MakeContext(attempt_end::kLost, retry_semantics::kRepeatable),
                  kNow) == next_step::kFail);
    }
  }
}

}  // namespace anvilloom
