// Defines limit_share, which computes the divisor that this entry instance
// applies to workspace limits, so that the shares of all entry instances add up
// to at most the limit.
#ifndef CONTRACTS_LIMIT_SHARE_H_
#define CONTRACTS_LIMIT_SHARE_H_

#include <atomic>
#include <cstdint>

#include "common/time.h"

namespace anvilloom {

// The divisor follows an increase of the number of live entry instances at
// once, and a decrease only after the number was lower for the whole hold-down.
// An instance that joins has no share during its hold-down. The shares
// therefore add up to at most the limit as long as every instance learns of a
// membership change within the hold-down. divisor() and hold_down_end() are
// thread-safe.
class limit_share {
 public:
  // Longer than a membership change takes to reach every entry instance.
  static constexpr duration kDefaultHoldDown = std::chrono::seconds(5);

  explicit limit_share(duration hold_down = kDefaultHoldDown)
      : hold_down_(hold_down) {}

  // Starts the hold-down of this entry instance. Called once, and only if
  // others were already serving when it joined.
  void Join(time_point joined_at);
  // Must be called by a single control thread, at least once a second.
  void Update(std::uint32_t live_members, time_point now);

  // The divisor for every limit, at least 1.
  std::uint32_t divisor() const {
    return divisor_.load(std::memory_order_relaxed);
  }
  // The end of the time in which this entry instance has no share.
  deadline hold_down_end() const {
    return deadline(
        time_point(duration(hold_down_end_.load(std::memory_order_relaxed))));
  }

 private:
  duration hold_down_;
  std::atomic<std::uint32_t> divisor_{1};
  std::atomic<monotonic::rep> hold_down_end_{0};
  // Used by the control thread only: whether fewer members than the divisor are
  // live, since when, and the largest number of members since then.
  bool reduction_pending_ = false;
  time_point reduction_pending_since_;
  std::uint32_t max_members_since_ = 0;
};

}  // namespace anvilloom

#endif  // CONTRACTS_LIMIT_SHARE_H_
