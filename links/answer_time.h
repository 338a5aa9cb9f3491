// Defines answer_time, the time that the upstreams of a plain service need for
// an answer.
#ifndef LINKS_ANSWER_TIME_H_
#define LINKS_ANSWER_TIME_H_

#include <algorithm>
#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// Moving average over the answers of all upstreams, each at its usual speed.
// Thread-safe.
class answer_time {
 public:
  // Records an answer that took `time`, at an upstream whose work took
  // `slowdown` times as long as usual.
  void Observe(duration time, double slowdown) {
    const double usual = static_cast<double>(time.count()) / slowdown;
    const std::int64_t before = us_.load(std::memory_order_relaxed);
    const auto observed =
        std::max<std::int64_t>(static_cast<std::int64_t>(usual), 1);
    // Concurrent updates may lose an answer, which the average tolerates. A
    // single answer counts at most as several typical ones, since a stalled one
    // says nothing about the others.
    us_.store(before == 0
                  ? observed
                  : before + (std::min(observed, kMaxRatio * before) - before) /
                                 kAveraged,
              std::memory_order_relaxed);
  }

  // Zero before the first answer.
  duration typical() const {
    return duration(us_.load(std::memory_order_relaxed));
  }

 private:
  static constexpr std::int64_t kAveraged = 32;
  static constexpr std::int64_t kMaxRatio = 8;

  std::atomic<std::int64_t> us_{0};
};

}  // namespace anvilloom

#endif  // LINKS_ANSWER_TIME_H_
