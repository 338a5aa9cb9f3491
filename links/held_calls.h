// Defines held_calls, the bounded queue of calls that an instance holds until
// an upstream takes calls again, and DecideHold, which decides whether holding
// a call gets it served.
#ifndef LINKS_HELD_CALLS_H_
#define LINKS_HELD_CALLS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/hash.h"
#include "common/time.h"

namespace anvilloom {

struct upstream_pool;

// Times that bound how long a call is held.
struct hold_terms {
  duration latency_target{0};
  time_point arrived;
  deadline answer_by = deadline::Never();
};

enum class hold_decision : std::uint8_t {
  // An upstream takes calls now.
  kOpen,
  // One is expected to do so within an eighth of the call's target after its
  // arrival.
  kHold,
  // None will, or that time is over.
  kDoNotHold,
};

// Decides whether a call is held. Upstreams that have asked for a pause take
// calls again at a known time. One that has only turned a call away may have a
// free slot a moment later, which holding would leave unused.
hold_decision DecideHold(const upstream_pool& pool,
                         const hold_terms& terms,
                         time_point now);

// The calls to a service that this instance holds. They leave in the order of
// their urgency and one after the other, so that an upstream with one free slot
// does not get all of them. Thread-safe.
class held_calls {
 public:
  // Each held call keeps its request in memory and asks again every
  // kCheckInterval, on machines with a tenth of a core.
  static constexpr std::uint32_t kMaxHeld = 16;
  static constexpr duration kCheckInterval = std::chrono::milliseconds(10);
  // Time between two calls that leave: within it, an upstream that is still
  // full turns the first one away.
  static constexpr duration kLeaveInterval = std::chrono::milliseconds(2);

  // Counts a call as held for its lifetime.
  class place {
   public:
    place(held_calls& calls, std::uint32_t urgency);
    ~place();
    place(const place&) = delete;
    place& operator=(const place&) = delete;

    // Whether there was room for the call.
    bool held() const { return held_; }

   private:
    held_calls& calls_;
    std::size_t level_;
    bool held_;
  };

  // Whether a held call may leave: no more urgent one is held, and none has
  // left just now. Counts it as leaving.
  bool TryLeave(std::uint32_t urgency, time_point now);

  std::uint32_t held() const { return total_.load(std::memory_order_relaxed); }

 private:
  static constexpr std::size_t kLevels = 10;

  static std::size_t LevelOf(std::uint32_t urgency);

  std::array<std::atomic<std::uint32_t>, kLevels> by_urgency_{};
  std::atomic<std::uint32_t> total_{0};
  std::atomic<std::int64_t> next_leave_us_{0};
};

// The queues of the services of an instance. Two services may share a queue.
class held_call_queues {
 public:
  held_calls& For(std::string_view service) {
    return queues_[Hash64(service) % kQueues];
  }

 private:
  static constexpr std::size_t kQueues = 16;

  std::array<held_calls, kQueues> queues_;
};

}  // namespace anvilloom

#endif  // LINKS_HELD_CALLS_H_
