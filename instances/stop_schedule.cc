#include "instances/stop_schedule.h"

#include <algorithm>
#include <chrono>

namespace anvilloom {

namespace {

// The load balancer probes once a second and removes an instance after two
// failed probes.
constexpr duration kReadinessPropagation = std::chrono::milliseconds(2'500);
// Time to write the last answers, and then to exit, before the kill. At most
// this share of the grace, so that a short one is not used up by them.
constexpr duration kAnswerMargin = std::chrono::milliseconds(500);
constexpr duration kExitMargin = std::chrono::milliseconds(200);
constexpr int kMarginShare = 8;

}  // namespace

stop_schedule PlanStop(duration grace, time_point now) {
  const duration share = grace / kMarginShare;
  return {
      .accept_until =
          deadline::After(now, std::min(kReadinessPropagation, grace / 2)),
      .answer_by = deadline::After(now, grace - std::min(kAnswerMargin, share)),
      .exit_by = deadline::After(now, grace - std::min(kExitMargin, share / 2)),
  };
}

bool MayForward(const stop_schedule& stop,
                deadline call_deadline,
                time_point now) {
  return !stop.accept_until.Expired(now) ||
         call_deadline.Remaining(now) <= stop.answer_by.Remaining(now);
}

}  // namespace anvilloom
