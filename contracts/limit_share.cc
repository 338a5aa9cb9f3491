#include "contracts/limit_share.h"

#include <algorithm>

namespace anvilloom {

void limit_share::Join(time_point joined_at) {
  hold_down_end_.store((joined_at + hold_down_).time_since_epoch().count(),
                       std::memory_order_relaxed);
}

void limit_share::Update(std::uint32_t live_members, time_point now) {
  const std::uint32_t live = std::max<std::uint32_t>(live_members, 1);
  if (live >= divisor()) {
    reduction_pending_ = false;
    divisor_.store(live, std::memory_order_relaxed);
    return;
  }
  if (!reduction_pending_) {
    reduction_pending_ = true;
    reduction_pending_since_ = now;
    max_members_since_ = live;
  }
  max_members_since_ = std::max(max_members_since_, live);
  if (now - reduction_pending_since_ >= hold_down_) {
    reduction_pending_ = false;
    divisor_.store(max_members_since_, std::memory_order_relaxed);
  }
}

}  // namespace anvilloom
