// Defines Pause and PauseUntil, in which a coroutine waits while its thread
// goes on with other work.
#ifndef WIRE_PAUSE_H_
#define WIRE_PAUSE_H_

#include "common/time.h"
#include "wire/transfer.h"

namespace anvilloom {

// `time` is in microseconds.
awaitable<void> Pause(duration time);
// Returns at once if `until` has passed.
awaitable<void> PauseUntil(deadline until);

}  // namespace anvilloom

#endif  // WIRE_PAUSE_H_
