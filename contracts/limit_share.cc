#include "contracts/limit_share.h"

#include <algorithm>

namespace anvilloom {

void limit_share::Join(time_point joined_at) {
  held_until_.store((joined_at + hold_down_).time_since_epoch().count(),
                    std::memory_order_relaxed);
}

void limit_share::Update(std::uint32_t live_members, time_point now) {
  const std::uint32_t live = std::max<std::uint32_t>(live_members, 1);
  if (live >= divisor()) {
    falling_ = false;
    divisor_.store(live, std::memory_order_relaxed);
    return;
  }
  if (!falling_) {
    falling_ = true;
    falling_since_ = now;
    most_since_ = live;
  }
  most_since_ = std::max(most_since_, live);
  if (now - falling_since_ >= hold_down_) {
    falling_ = false;
    divisor_.store(most_since_, std::memory_order_relaxed);
  }
}

}  // namespace anvilloom
