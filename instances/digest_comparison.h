// Defines digest_comparison, which tells from digests whether the states of two
// instances have parted, though both states go on changing.
#ifndef INSTANCES_DIGEST_COMPARISON_H_
#define INSTANCES_DIGEST_COMPARISON_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "common/time.h"

namespace anvilloom {

// Another instance's digest is as old as its last report, so it is compared
// with the states that this instance went through lately, not only with the
// present one. Owned by one thread.
class digest_comparison {
 public:
  // Both states are taken as equal until the other's digest has been none of
  // this instance's for longer than `limit`.
  explicit digest_comparison(duration limit) : limit_(limit) {}

  // This instance's state from `now` on.
  void TakeOwn(std::uint64_t digest, time_point now) {
    if (!states_.empty()) {
      if (states_.back().digest == digest) {
        return;
      }
      states_.back().left_at = now;
    }
    states_.push_back({digest, time_point::max()});
    std::erase_if(states_, [now](const state& each) {
      return each.left_at < now - kMemory;
    });
  }

  // Takes the other's digest as last reported. True if the states have parted;
  // the next comparison then begins anew.
  bool HasParted(std::uint64_t other, time_point now) {
    const bool known = std::ranges::any_of(
        states_, [&](const state& each) { return each.digest == other; });
    if (known) {
      matched_at_ = now;
      return false;
    }
    if (now - matched_at_ <= limit_) {
      return false;
    }
    matched_at_ = now;
    return true;
  }

  // There is nothing to compare with.
  void Reset(time_point now) { matched_at_ = now; }

 private:
  // Longer than a report takes to arrive and be replaced by the next one.
  static constexpr duration kMemory = std::chrono::seconds(2);

  struct state {
    std::uint64_t digest = 0;
    time_point left_at;
  };

  duration limit_;
  std::deque<state> states_;
  time_point matched_at_;
};

}  // namespace anvilloom

#endif  // INSTANCES_DIGEST_COMPARISON_H_
