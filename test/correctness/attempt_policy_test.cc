// Guards against calls that run twice, and against refusals that claim that a
// call did not run though it may have.

#include "links/attempt_policy.h"

#include <catch2/catch.hpp>
#include <tuple>

namespace anvilloom {

namespace {

constexpr time_point kNow{std::chrono::seconds(1000)};

attempt_question Question(attempt_end end, repeat_rule repeat) {
  attempt_question question;
  question.end = end;
  question.repeat = repeat;
  question.may_have_run = MayHaveRun(end);
  question.attempts = 1;
  question.most_attempts = 2;
  question.answer_by = deadline::After(kNow, std::chrono::seconds(1));
  return question;
}

}  // namespace

SCENARIO("The end of an attempt decides how the call goes on",
         "[attempt_policy]") {
  using end = attempt_end;
  using rule = repeat_rule;
  using step = next_step;

  const auto [ended, repeat, expected] = GENERATE(table<end, rule, step>({
      {end::kAnswered, rule::kOnce, step::kDeliver},
      {end::kAnswered, rule::kRepeatable, step::kDeliver},
      // What did not run may be sent elsewhere, whatever the rule.
      {end::kNotRun, rule::kOnce, step::kRepeat},
      {end::kNotSent, rule::kOnce, step::kRepeat},
      {end::kNotRun, rule::kRepeatable, step::kRepeat},
      // What may have run is repeated only where the rule allows it.
      {end::kLost, rule::kOnce, step::kFail},
      {end::kTimedOut, rule::kOnce, step::kFail},
      {end::kLost, rule::kRepeatable, step::kRepeat},
      {end::kTimedOut, rule::kRepeatable, step::kRepeat},
      {end::kLost, rule::kResumable, step::kRepeat},
      // The upstream's own failure is an answer.
      {end::kServerError, rule::kOnce, step::kDeliver},
      {end::kServerError, rule::kRepeatable, step::kRepeat},
      {end::kCallerGone, rule::kRepeatable, step::kAbandon},
  }));
  REQUIRE(DecideAfterAttempt(Question(ended, repeat), kNow) == expected);
}

SCENARIO("A call without a further attempt ends truthfully",
         "[attempt_policy]") {
  GIVEN("a call that no upstream ran") {
    attempt_question question =
        Question(attempt_end::kNotRun, repeat_rule::kOnce);
    question.most_attempts = 1;

    THEN("it is refused as not run") {
      REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kRefuse);
    }

    WHEN("an earlier attempt may have run") {
      question.may_have_run = true;

      THEN("it is not refused as not run") {
        REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kFail);
      }
    }
  }

  GIVEN("a call with a single attempt whose upstream can't be connected to") {
    attempt_question question =
        Question(attempt_end::kNotSent, repeat_rule::kOnce);
    question.attempts = 0;
    question.most_attempts = 1;
    question.unreached = 1;

    THEN("it goes to another one, which adds no load to any") {
      REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kRepeat);
      REQUIRE_FALSE(RepeatAddsLoad(question.end));
    }

    WHEN("many upstreams in a row can't be connected to") {
      question.unreached = kMostUnreached + 1;

      THEN("it is refused as not run") {
        REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kRefuse);
      }
    }

    WHEN("an earlier attempt may have run") {
      question.may_have_run = true;

      THEN("it isn't sent again") {
        REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kFail);
      }
    }
  }

  GIVEN("a stream that has begun to reach its caller") {
    attempt_question question =
        Question(attempt_end::kServerError, repeat_rule::kResumable);
    question.begun = true;
    question.attempts = 2;

    THEN(
        "a failure of the upstream that was to go on does not end it as "
        "whole") {
      REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kFail);
    }

    THEN("nor is it refused when that one turns the call away") {
      question.end = attempt_end::kNotRun;
      question.may_have_run = false;
      REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kFail);
    }
  }

  GIVEN("a call whose time is over") {
    attempt_question question =
        Question(attempt_end::kTimedOut, repeat_rule::kRepeatable);
    question.answer_by = deadline(kNow);

    THEN("it is not sent again") {
      REQUIRE(DecideAfterAttempt(question, kNow) == next_step::kTimeOut);
    }
  }

  GIVEN("a repeatable call that the retry budget does not let repeat") {
    THEN("the upstream's own failure is delivered") {
      REQUIRE(StepWithoutRepeat(
                  Question(attempt_end::kServerError, repeat_rule::kRepeatable),
                  kNow) == next_step::kDeliver);
    }

    THEN("a lost answer is told as such") {
      REQUIRE(StepWithoutRepeat(
                  Question(attempt_end::kLost, repeat_rule::kRepeatable),
                  kNow) == next_step::kFail);
    }
  }
}

}  // namespace anvilloom
