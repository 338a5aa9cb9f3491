#include "links/attempt_policy.h"

namespace anvilloom {

bool MayHaveRun(attempt_end end) {
  return end != attempt_end::kNotSent && end != attempt_end::kNotRun;
}

bool RepeatAddsLoad(attempt_end end) {
  return end != attempt_end::kNotSent;
}

next_step DecideAfterAttempt(const attempt_question& question, time_point now) {
  if (question.end == attempt_end::kAnswered) {
    return next_step::kDeliver;
  }
  if (question.end == attempt_end::kCallerGone) {
    return next_step::kAbandon;
  }
  const bool allowed = !question.may_have_run ||
                       question.repeat == repeat_rule::kRepeatable ||
                       question.repeat == repeat_rule::kResumable;
  const bool in_time = question.answer_by.Remaining(now) > question.least_time;
  const bool may_go_on = question.attempts < question.most_attempts &&
                         question.unreached <= kMostUnreached;
  if (allowed && in_time && may_go_on) {
    return next_step::kRepeat;
  }
  return StepWithoutRepeat(question, now);
}

next_step StepWithoutRepeat(const attempt_question& question, time_point now) {
  if (question.end == attempt_end::kServerError && !question.begun) {
    return next_step::kDeliver;
  }
  if (!question.may_have_run && !question.begun) {
    return next_step::kRefuse;
  }
  return question.answer_by.Expired(now) ? next_step::kTimeOut
                                         : next_step::kFail;
}

}  // namespace anvilloom
