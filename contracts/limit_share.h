// Defines limit_share, by how much this entry instance divides a workspace's
// limit, so that the shares of all entry instances add up to the limit at most.
#ifndef CONTRACTS_LIMIT_SHARE_H_
#define CONTRACTS_LIMIT_SHARE_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// The divisor rises with the number of live entry instances at once, and falls
// only after it was lower for the whole hold-down. An instance that joins takes
// no share during its hold-down. So the shares add up to at most the limit as
// long as every instance sees a change within the hold-down.
class limit_share {
 public:
  // Longer than membership takes to tell every entry instance of a change.
  static constexpr duration kDefaultHoldDown = std::chrono::seconds(5);

  explicit limit_share(duration hold_down = kDefaultHoldDown)
      : hold_down_(hold_down) {}

  // Begins the hold-down of this entry instance. Called once, if others were
  // already serving when it joined.
  void Join(time_point joined_at);
  // Called by one control thread, at least once a second.
  void Update(std::uint32_t live_members, time_point now);

  // Divisor of every limit, at least 1.
  std::uint32_t divisor() const {
    return divisor_.load(std::memory_order_relaxed);
  }
  // Until when this entry instance has no share.
  deadline held_until() const {
    return deadline(
        time_point(duration(held_until_.load(std::memory_order_relaxed))));
  }

 private:
  duration hold_down_;
  std::atomic<std::uint32_t> divisor_{1};
  std::atomic<monotonic::rep> held_until_{0};
  // Of the control thread: since when fewer members than the divisor were
  // live, and the most seen since.
  bool falling_ = false;
  time_point falling_since_;
  std::uint32_t most_since_ = 0;
};

}  // namespace anvilloom

#endif  // CONTRACTS_LIMIT_SHARE_H_
