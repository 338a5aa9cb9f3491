// Defines watch_duty, which decides whether this instance watches the store on
// behalf of all instances.
#ifndef INSTANCES_WATCH_DUTY_H_
#define INSTANCES_WATCH_DUTY_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/time.h"

namespace anvilloom {

// A few instances watch the store on behalf of all: the first ones by rank that
// can reach it. Replacements start at staggered times, since all instances
// notice the loss of a watcher at the same time. Not thread-safe.
class watch_duty {
 public:
  // Number of watchers. More than one, since a watcher may fail or lose its
  // connection to the store.
  static constexpr std::size_t kWatcherCount = 3;

  // `rank` is the number of live instances that precede this one, and
  // `watching` the number of those that watch the store.
  bool MustWatch(std::size_t rank, std::size_t watching, time_point now) {
    if (watching >= kWatcherCount) {
      missing_since_.reset();
      return false;
    }
    if (!missing_since_) {
      missing_since_ = now;
    }
    const std::size_t missing = kWatcherCount - watching;
    // Preceding instances that may become watchers.
    const std::size_t candidates = rank - watching;
    if (candidates < missing) {
      return true;
    }
    const auto position = static_cast<std::int64_t>(candidates - missing + 1);
    return now - *missing_since_ >= kTakeoverDelay * position;
  }

 private:
  // Delay between the start times of successive candidates. It is shorter than
  // the report interval: with reports every 400 ms, four surplus instances
  // start to watch before the report of the first one reaches them.
  static constexpr duration kTakeoverDelay = std::chrono::milliseconds(100);

  std::optional<time_point> missing_since_;
};

}  // namespace anvilloom

#endif  // INSTANCES_WATCH_DUTY_H_
