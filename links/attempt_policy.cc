#include "links/attempt_policy.h"

namespace anvilloom {

bool MayHaveRun(attempt_end end) {
  return end != attempt_end::kNotSent && end != attempt_end::kNotRun;
}

bool RepeatAddsLoad(attempt_end end) {
  return end != attempt_end::kNotSent;
}

next_step DecideAfterAttempt(const attempt_question& context, time_point now) {
  if (context.end == attempt_end::kAnswered) {
    return next_step::kDeliver;
  }
  if (context.end == attempt_end::kCallerGone) {
    return next_step::kAbandon;
  }
  const bool allowed = !context.may_have_run ||
                       context.repeat == repeat_rule::kRepeatable ||
                       context.repeat == repeat_rule::kResumable;
  const bool in_time = context.answer_by.Remaining(now) > context.least_time;
  const bool below_limits = context.attempts < context.most_attempts &&
                            context.unreached <= kMaxUnreachable;
  if (allowed && in_time && below_limits) {
    return next_step::kRepeat;
  }
  return StepWithoutRepeat(context, now);
}

next_step StepWithoutRepeat(const attempt_question& context, time_point now) {
  if (context.end == attempt_end::kServerError && !context.begun) {
    return next_step::kDeliver;
  }
  if (!context.may_have_run && !context.begun) {
    return next_step::kRefuse;
  }
  return context.answer_by.Expired(now) ? next_step::kTimeOut
                                        : next_step::kFail;
}

}  // namespace anvilloom
