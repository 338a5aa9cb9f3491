// Defines rollout_calls, the calls of this instance to one service by the
// version that runs them.
#ifndef INSTANCES_ROLLOUT_CALLS_H_
#define INSTANCES_ROLLOUT_CALLS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "common/hash.h"

namespace anvilloom {

// Counts all calls, also those that began before an order: they may still run
// when the service moves to another version. Thread-safe.
class rollout_calls {
 public:
  // Counts a call that is about to choose a version, until EndChoice(). Call
  // before the rollouts are read.
  void BeginChoice() { choosing_.fetch_add(1, std::memory_order_acq_rel); }
  void EndChoice() { choosing_.fetch_sub(1, std::memory_order_acq_rel); }

  // Counts a call as running at `version` until End() with the result. Nothing
  // if calls run at too many other versions; the call then remains one that
  // chooses.
  std::optional<std::size_t> Begin(std::string_view version) {
    const std::uint64_t tag = TagOf(version);
    for (std::size_t i = 0; i < kVersions; ++i) {
      std::uint64_t known = slots_[i].load(std::memory_order_relaxed);
      while ((known & kCountMask) == 0 || (known & ~kCountMask) == tag) {
        if (slots_[i].compare_exchange_weak(
                known, (tag | (known & kCountMask)) + 1,
                std::memory_order_acq_rel, std::memory_order_relaxed)) {
          return i;
        }
      }
    }
    return std::nullopt;
  }
  void End(std::size_t slot) {
    slots_[slot].fetch_sub(1, std::memory_order_acq_rel);
  }

  // Returns the calls that run, or may be sent to, other versions than this
  // one. Contains every call that has not seen the rollouts that this thread
  // has published: all modifications of `choosing_` have one order, so a call
  // that is not counted here began its choice later and reads them. A call is
  // counted by its version before it ceases to choose, so `choosing_` is read
  // first.
  std::uint32_t CountOthers(std::string_view version) {
    std::uint32_t calls = choosing_.fetch_add(0, std::memory_order_acq_rel);
    const std::uint64_t tag = TagOf(version);
    for (const std::atomic<std::uint64_t>& slot : slots_) {
      const std::uint64_t known = slot.load(std::memory_order_acquire);
      if ((known & ~kCountMask) != tag) {
        calls += static_cast<std::uint32_t>(known & kCountMask);
      }
    }
    return calls;
  }

 private:
  // Versions whose calls run at the same time; more than two are rare.
  static constexpr std::size_t kVersions = 8;
  // The lower half of a slot is the number of calls, the upper one a part of
  // the hash of their version.
  static constexpr std::uint64_t kCountMask = 0xffff'ffff;

  static std::uint64_t TagOf(std::string_view version) {
    return Hash64(version) & ~kCountMask;
  }

  std::atomic<std::uint32_t> choosing_{0};
  std::array<std::atomic<std::uint64_t>, kVersions> slots_{};
};

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_CALLS_H_
