// Defines watch_duty, which decides whether this instance watches the store for
// all.
#ifndef INSTANCES_WATCH_DUTY_H_
#define INSTANCES_WATCH_DUTY_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/time.h"

namespace anvilloom {

// A few instances watch the store for all: the first ones by rank that reach
// it. Instances step in one after the other, since a watcher that is lost shows
// to all others at the same time. Owned by one thread.
class watch_duty {
 public:
  // More than one, since one may be cut off from the store, or die.
  static constexpr std::size_t kWatchers = 3;

  // `rank` live instances precede this one, and `watching` of them watch.
  bool MustWatch(std::size_t rank, std::size_t watching, time_point now) {
    if (watching >= kWatchers) {
      missing_since_.reset();
      return false;
    }
    if (!missing_since_) {
      missing_since_ = now;
    }
    const std::size_t missing = kWatchers - watching;
    // Those that precede this one and may step in.
    const std::size_t candidates = rank - watching;
    if (candidates < missing) {
      return true;
    }
    const auto turn = static_cast<std::int64_t>(candidates - missing + 1);
    return now - *missing_since_ >= kTurn * turn;
  }

 private:
  // Time for an instance that steps in to be heard of, shared by the instances
  // that come after it: with reports each 400 ms, four step in too many.
  static constexpr duration kTurn = std::chrono::milliseconds(100);

  std::optional<time_point> missing_since_;
};

}  // namespace anvilloom

#endif  // INSTANCES_WATCH_DUTY_H_
