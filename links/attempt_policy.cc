#include "links/attempt_policy.h"

#include <algorithm>

#include "instances/engine_profile.h"

namespace anvilloom {

bool MayHaveRun(attempt_end end) {
  return end != attempt_end::kNotSent && end != attempt_end::kNotRun;
}

bool RepeatAddsLoad(attempt_end end) {
  return end != attempt_end::kNotSent;
}

deadline LimitOfRepeatableAttempt(duration limit,
                                  double slowdown,
                                  duration typical,
                                  deadline answer_by,
                                  time_point now) {
  duration extended = limit;
  if (slowdown > 1) {
    extended = std::max(
        limit,
        std::min(ToDuration(static_cast<double>(limit.count()) * slowdown),
                 answer_by.Remaining(now) - typical));
  }
  return deadline::After(now, extended).Earlier(answer_by);
}

next_step DecideAfterAttempt(const attempt_context& context, time_point now) {
  if (context.end == attempt_end::kAnswered) {
    return next_step::kDeliver;
  }
  if (context.end == attempt_end::kCallerGone) {
    return next_step::kAbandon;
  }
  const bool allowed = !context.may_have_run ||
                       context.repeat == retry_semantics::kRepeatable ||
                       context.repeat == retry_semantics::kResumable;
  const bool in_time =
      context.answer_by.Remaining(now) > context.min_attempt_time;
  const bool below_limits = context.attempts < context.max_attempts &&
                            context.unreachable_upstreams <= kMaxUnreachable;
  if (allowed && in_time && below_limits) {
    return next_step::kRepeat;
  }
  return StepWithoutRepeat(context, now);
}

next_step StepWithoutRepeat(const attempt_context& context, time_point now) {
  if (context.end == attempt_end::kServerError && !context.answer_started) {
    return next_step::kDeliver;
  }
  if (!context.may_have_run && !context.answer_started) {
    return next_step::kRefuse;
  }
  return context.answer_by.Expired(now) ? next_step::kTimeOut
                                        : next_step::kFail;
}

}  // namespace anvilloom
