// Defines stop_schedule, the deadlines of a planned stop, and MayForward(),
// which decides whether a call that arrives during one is still forwarded.
#ifndef INSTANCES_STOP_SCHEDULE_H_
#define INSTANCES_STOP_SCHEDULE_H_

#include "common/time.h"

namespace anvilloom {

// In this order. All follow from the time at which the platform kills the
// process.
struct stop_schedule {
  // New connections are accepted until then, since the load balancer may still
  // send some.
  deadline accept_until;
  // Every call has its final answer by then.
  deadline answer_by;
  // The process ends then even if an answer is not completely written.
  deadline exit_by;
};

// Plans a stop that begins now. `grace` is the time until the process is
// killed.
stop_schedule PlanStop(duration grace, time_point now);

// Whether a call may be forwarded that was received completely at `now` and has
// to be answered by `call_deadline`. One that comes late in the stop must be
// certain to end before it; another instance can serve it.
bool MayForward(const stop_schedule& stop,
                deadline call_deadline,
                time_point now);

}  // namespace anvilloom

#endif  // INSTANCES_STOP_SCHEDULE_H_
