// Defines digest_comparison, which detects from digests that the states of two
// instances have diverged, while both states keep changing.
#ifndef INSTANCES_DIGEST_COMPARISON_H_
#define INSTANCES_DIGEST_COMPARISON_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "common/time.h"

namespace anvilloom {

// Another instance's digest is as old as its last report, so it is compared
// with the recent states of this instance, not only with the current one. Not
// thread-safe.
class digest_comparison {
 public:
  // The states count as diverged once the other instance's digest has matched
  // no recent digest of this instance for longer than `limit` (microseconds).
  explicit digest_comparison(duration limit) : limit_(limit) {}

  // Sets the digest of this instance's state from `now` on.
  void SetOwnDigest(std::uint64_t digest, time_point now) {
    if (!states_.empty()) {
      if (states_.back().digest == digest) {
        return;
      }
      states_.back().replaced_at = now;
    }
    states_.push_back({digest, time_point::max()});
    std::erase_if(states_, [now](const state& each) {
      return each.replaced_at < now - kHistory;
    });
  }

  // Compares with the last reported digest of the other instance. Returns true
  // if the states have diverged, and then restarts the time limit.
  bool HasDiverged(std::uint64_t other, time_point now) {
    const bool matches = std::ranges::any_of(
        states_, [&](const state& each) { return each.digest == other; });
    if (matches) {
      matched_at_ = now;
      return false;
    }
    if (now - matched_at_ <= limit_) {
      return false;
    }
    matched_at_ = now;
    return true;
  }

  // Restarts the time limit when there is no other instance to compare with.
  void Reset(time_point now) { matched_at_ = now; }

 private:
  // Must exceed the time from the sending of a report to the arrival of the
  // next one.
  static constexpr duration kHistory = std::chrono::seconds(2);

  struct state {
    std::uint64_t digest = 0;
    time_point replaced_at;
  };

  duration limit_;
  std::deque<state> states_;
  time_point matched_at_;
};

}  // namespace anvilloom

#endif  // INSTANCES_DIGEST_COMPARISON_H_
