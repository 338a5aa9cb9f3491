// Defines RunSupervised, which keeps a long-running coroutine going after an
// unexpected error.
#ifndef ENTRY_SUPERVISED_TASK_H_
#define ENTRY_SUPERVISED_TASK_H_

#include <exception>
#include <functional>
#include <string>
#include <string_view>

#include "common/log.h"
#include "common/time.h"
#include "wire/pause.h"

namespace anvilloom {

// Time before a task that failed is started again. Long enough that an error
// that comes back at once costs little.
inline constexpr duration kTaskRestartDelay = std::chrono::seconds(1);

// Runs the coroutine that `task` returns until it ends without an exception.
// `name` must outlive the call.
inline awaitable<void> RunSupervised(
    std::string_view name,
    std::function<awaitable<void>()> task,
    duration restart_delay = kTaskRestartDelay) {
  for (;;) {
    try {
      co_await task();
      co_return;
    } catch (const std::exception& error) {
      Log(log_level::kError, log_event::kTaskFailed,
          {{"task", std::string(name)}, {"cause", error.what()}});
    }
    co_await Pause(restart_delay);
  }
}

}  // namespace anvilloom

#endif  // ENTRY_SUPERVISED_TASK_H_
