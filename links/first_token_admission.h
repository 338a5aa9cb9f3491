// Defines first_token_admission, which decides whether a call to a model is
// likely to get its first token in time, and which shares a loaded service
// fairly between short and long prompts.
#ifndef LINKS_FIRST_TOKEN_ADMISSION_H_
#define LINKS_FIRST_TOKEN_ADMISSION_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "common/time.h"
#include "contracts/decayed_counter.h"

namespace anvilloom {

// Expected times of a call at the upstream chosen for it, in microseconds.
struct first_token_estimate {
  // Queueing time at the upstream.
  duration wait{0};
  // Time to the first token at an idle upstream.
  duration own{0};
  // Latency target of the call.
  duration target{0};
  // Time until the deadline of the caller or the route.
  duration time_left{0};
  // Part of the slack that the queue may take before the call is refused. Less
  // than 1 for calls that leave capacity to others.
  double queue_share = 1;
  // Whether most slots of the service are free and nothing waits at the
  // upstream. Then only a call that needs more than the time left is refused.
  bool idle = false;
};

enum class admission_verdict : std::uint8_t {
  kAdmit,
  // Admitted although it is expected to be late, to test the estimate.
  kProbe,
  // Refused: its first token would be late.
  kLate,
  // Refused: it would leave too long a queue for calls with less slack, which
  // have been refused more often.
  kYield,
  // Refused: the queue is longer than its share of the slack, because more
  // urgent calls of the service need the capacity.
  kPrecedence,
  // Same, because its workspace has already got its share of the capacity.
  kOverShare,
};

constexpr bool IsAdmitted(admission_verdict verdict) {
  return verdict == admission_verdict::kAdmit ||
         verdict == admission_verdict::kProbe;
}

// The slack of a call is the longest queue with which it is still in time: its
// target without the time that it needs at an idle upstream. Long prompts have
// little slack, and so have calls with a short target. Calls with more slack
// would keep the queues at a length that makes them always late. Calls are
// therefore counted by their slack. While those of a slack are admitted less
// often than the average, calls with more slack must leave a queue that suits
// them, unless they are admitted less often themselves. Thread-safe.
class first_token_admission {
 public:
  // Decides on a call and counts it. `excess` is the time by which first tokens
  // have recently come later than expected, in microseconds.
  admission_verdict Decide(const first_token_estimate& estimate,
                           duration excess,
                           time_point now);

  // Returns the expected delay of a call of average size, or that of this call
  // if it is shorter.
  duration TypicalDelay(const first_token_estimate& estimate) const;

  // Returns the least slack of the calls that were recently admitted less often
  // than `least_share`, or duration::max() if there are none. Calls without
  // slack are left out: a shorter queue would not help them.
  duration LeastDeprivedSlack(float least_share, time_point now) const;

  // Time within which the first token of a call must come. A call that is late
  // even at an idle upstream gets more than its target: refusing it would not
  // help its caller, who would be refused again.
  static duration Limit(const first_token_estimate& estimate);

 private:
  // Classes of slack, each larger than the one before by a factor of the square
  // root of two. The first one begins at kLeastSlack and includes all below.
  static constexpr std::size_t kClasses = 14;
  static constexpr duration kLeastSlack = std::chrono::milliseconds(32);
  // A class that is admitted less often than this part of the average is served
  // unfairly. Less than 1, so that chance does not hold up other calls.
  static constexpr float kMinShare = 0.95F;
  // With fewer recent calls of a class, its share is not known.
  static constexpr float kMinCalls = 4;
  static constexpr duration kTimeConstant = std::chrono::seconds(5);
  // One refused call in this number is admitted if its upstream is idle: what
  // is refused is never observed, so a wrong estimate would stay in force.
  static constexpr std::uint32_t kProbeInterval = 8;
  // Calls over which their own time is averaged.
  static constexpr std::int64_t kAveragedCalls = 32;

  struct class_counts {
    decayed_counter offered{kTimeConstant};
    decayed_counter admitted{kTimeConstant};
  };

  static std::size_t ClassOf(duration slack);
  // The least slack of a class.
  static duration LeastSlack(std::size_t slack_class);
  // The share of the recent calls of a class that was admitted; 1 if there are
  // too few of them.
  static float AdmittedShare(const class_counts& counts, time_point now);
  // Whether a call would leave a queue of length `queue` that is too long for
  // calls with less slack, which are admitted less often. The queue may take
  // `queue_share` of their slack.
  bool MustYield(std::size_t slack_class,
                 duration queue,
                 double queue_share,
                 time_point now) const;
  bool IsProbe(const first_token_estimate& estimate);

  std::array<class_counts, kClasses> counts_;
  // Moving average of first_token_estimate::own, in microseconds.
  std::atomic<std::int64_t> average_own_us_{0};
  std::atomic<std::uint32_t> refused_at_idle_{0};
};

}  // namespace anvilloom

#endif  // LINKS_FIRST_TOKEN_ADMISSION_H_
