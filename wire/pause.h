// Defines Pause and PauseUntil, which suspend a coroutine without blocking its
// thread.
#ifndef WIRE_PAUSE_H_
#define WIRE_PAUSE_H_

#include "common/time.h"
#include "wire/transfer.h"

namespace anvilloom {

// Suspends the calling coroutine for `time`, in microseconds.
awaitable<void> Pause(duration time);
// Suspends the calling coroutine until `until`; completes at once if it has
// passed.
awaitable<void> PauseUntil(deadline until);

}  // namespace anvilloom

#endif  // WIRE_PAUSE_H_
