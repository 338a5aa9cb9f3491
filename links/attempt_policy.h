// Defines DecideAfterAttempt, which says how a call goes on after an attempt at
// one upstream has ended.
#ifndef LINKS_ATTEMPT_POLICY_H_
#define LINKS_ATTEMPT_POLICY_H_

#include <cstdint>

#include "common/time.h"
#include "contracts/manifest.h"

namespace anvilloom {

// How an attempt ended.
enum class attempt_end : std::uint8_t {
  kAnswered,     // A whole answer that can be delivered.
  kServerError,  // A whole answer in which the upstream reports a failure.
  kNotSent,      // No byte of the call left, so it did not run.
  kNotRun,       // The upstream states that it did not run the call.
  kLost,         // Sent, and no whole answer came: it may have run.
  kTimedOut,     // The time of the attempt is over: it may have run.
  kCallerGone,   // The caller has closed its connection.
};

// What happens next.
enum class next_step : std::uint8_t {
  kDeliver,  // Pass the upstream's answer on.
  kRepeat,   // Send the call to another upstream.
  kRefuse,   // Tell the caller that the call has not run and never will.
  kFail,     // Tell the caller that it may have run.
  kTimeOut,  // As kFail, because the time is over.
  kAbandon,  // No one is left to tell.
};

// The state of a call after an attempt.
struct attempt_question {
  attempt_end end = attempt_end::kLost;
  repeat_rule repeat = repeat_rule::kOnce;
  // Whether this or an earlier attempt may have run.
  bool may_have_run = false;
  // Whether part of an answer has reached the caller: only the rest of it can
  // be delivered then.
  bool begun = false;
  // Upstreams that the call was sent to, and the most that it may be sent to.
  std::uint32_t attempts = 1;
  std::uint32_t most_attempts = 1;
  // Upstreams that could not be connected to. They saw nothing of the call, so
  // they don't count as attempts.
  std::uint32_t unreached = 0;
  // The end of the caller's patience and of the route's limit.
  deadline answer_by = deadline::Never();
  // Time that another attempt needs at least, in microseconds.
  duration least_time{0};
};

// Upstreams that a call may find unreachable before it is given up. Each costs
// the limit on connecting at most, and a caller has seconds of patience.
inline constexpr std::uint32_t kMostUnreached = 5;

// Whether an attempt that ended so may have run at the upstream.
bool MayHaveRun(attempt_end end);
// Whether going on after such an end puts load on an upstream that the call's
// first attempt has not: only that draws on the retry budget.
bool RepeatAddsLoad(attempt_end end);

// kRepeat is a wish: the retry budget may still refuse it, and then
// StepWithoutRepeat() says what happens instead.
next_step DecideAfterAttempt(const attempt_question& question, time_point now);
next_step StepWithoutRepeat(const attempt_question& question, time_point now);

}  // namespace anvilloom

#endif  // LINKS_ATTEMPT_POLICY_H_
