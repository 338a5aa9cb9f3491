// Defines DecideAfterAttempt, which chooses the next step of a call after an
// attempt at one upstream has ended.
#ifndef LINKS_ATTEMPT_POLICY_H_
#define LINKS_ATTEMPT_POLICY_H_

#include <cstdint>

#include "common/time.h"
#include "contracts/manifest.h"

namespace anvilloom {

// How an attempt ended.
enum class attempt_end : std::uint8_t {
  kAnswered,     // A complete answer that can be delivered.
  kServerError,  // A complete answer in which the upstream reports a failure.
  kNotSent,      // No byte of the call was sent, so it did not run.
  kNotRun,       // The upstream states that it did not run the call.
  kLost,         // Sent without a complete answer: the call may have run.
  kTimedOut,     // The attempt timed out: the call may have run.
  kCallerGone,   // The caller has closed its connection.
};

// What happens next.
enum class next_step : std::uint8_t {
  kDeliver,  // Forward the upstream's answer to the caller.
  kRepeat,   // Send the call to another upstream.
  kRefuse,   // Report that the call has not run and will not run.
  kFail,     // Report that the call may have run.
  kTimeOut,  // Report that the deadline has passed; the call may have run.
  kAbandon,  // The caller has disconnected; no answer is sent.
};

// The state of a call after an attempt.
struct attempt_context {
  attempt_end end = attempt_end::kLost;
  retry_semantics repeat = retry_semantics::kAtMostOnce;
  // Whether this or an earlier attempt may have run.
  bool may_have_run = false;
  // Whether part of an answer has reached the caller. Only the remainder can be
  // delivered then.
  bool answer_started = false;
  // Number of upstreams that the call was sent to, and the limit on it.
  std::uint32_t attempts = 1;
  std::uint32_t max_attempts = 1;
  // Number of upstreams to which no connection could be made. They received no
  // part of the call, so they don't count as attempts.
  std::uint32_t unreachable_upstreams = 0;
  // The earlier of the caller's deadline and the route's limit.
  deadline answer_by = deadline::Never();
  // Minimum time that another attempt needs, in microseconds.
  duration min_attempt_time{0};
};

// Maximum number of unreachable upstreams before a call is refused. Each one
// can take the full connect timeout, while callers wait only for seconds.
inline constexpr std::uint32_t kMaxUnreachable = 5;

// Whether an attempt with this end may have run at the upstream.
bool MayHaveRun(attempt_end end);
// Whether a further attempt adds upstream load beyond that of the first
// attempt. Only such attempts are charged to the retry budget.
bool RepeatAddsLoad(attempt_end end);

// Returns the time limit of an attempt that may be repeated. `limit` holds for
// an upstream at its usual speed, at which an answer takes about `typical` time
// (zero if unknown). The limit is longer while work takes `slowdown` times as
// long, unless the time until `answer_by` would not suffice for a second
// attempt then.
deadline LimitOfRepeatableAttempt(duration limit,
                                  double slowdown,
                                  duration typical,
                                  deadline answer_by,
                                  time_point now);

// Returns the next step. If the result is kRepeat and the retry budget denies
// it, the caller uses StepWithoutRepeat() instead.
next_step DecideAfterAttempt(const attempt_context& context, time_point now);
next_step StepWithoutRepeat(const attempt_context& context, time_point now);

}  // namespace anvilloom

#endif  // LINKS_ATTEMPT_POLICY_H_
