// Defines pooled_upstream, one announced lifetime of an upstream with what this
// entry instance knows of its load, and upstream_pool, those of one service.
#ifndef LINKS_POOLED_UPSTREAM_H_
#define LINKS_POOLED_UPSTREAM_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "common/time.h"
#include "instances/upstream_announcement.h"
#include "links/delay_bias.h"
#include "links/retry_budget.h"

namespace anvilloom {

// Shared by all threads. The announcement is immutable; the rest is atomic.
class pooled_upstream {
 public:
  explicit pooled_upstream(upstream_announcement announced)
      : announced_(std::move(announced)),
        hash_(CombineHash(Hash64(announced_.id), announced_.born_ms)) {}

  const upstream_announcement& announced() const { return announced_; }
  // Names this lifetime in placement and in reports between instances.
  std::uint64_t hash() const { return hash_; }

  // A call that was sent and has not ended. `unread_tokens` are those of its
  // prompt that the upstream has to read.
  void Begin(std::uint32_t unread_tokens) {
    running_.fetch_add(1, std::memory_order_relaxed);
    unread_tokens_.fetch_add(unread_tokens, std::memory_order_relaxed);
  }
  // The prompt has been read: the first token is there.
  void PromptRead(std::uint32_t unread_tokens) {
    unread_tokens_.fetch_sub(unread_tokens, std::memory_order_relaxed);
  }
  void End() { running_.fetch_sub(1, std::memory_order_relaxed); }

  std::uint32_t running() const {
    return running_.load(std::memory_order_relaxed);
  }
  std::uint32_t unread_tokens() const {
    return unread_tokens_.load(std::memory_order_relaxed);
  }

  // Whether this instance is one of the few that tell each other at once what
  // they send there. It then knows the load better than that of others.
  void SetWellKnown(bool well_known) {
    well_known_.store(well_known, std::memory_order_relaxed);
  }
  bool well_known() const {
    return well_known_.load(std::memory_order_relaxed);
  }

  // What the other entry instances have sent there, from their last reports.
  void SetElsewhere(std::uint32_t running, std::uint32_t unread_tokens) {
    elsewhere_running_.store(running, std::memory_order_relaxed);
    elsewhere_unread_.store(unread_tokens, std::memory_order_relaxed);
  }
  std::uint32_t total_running() const {
    return running() + elsewhere_running_.load(std::memory_order_relaxed);
  }
  std::uint32_t total_unread_tokens() const {
    return unread_tokens() + elsewhere_unread_.load(std::memory_order_relaxed);
  }

  // It leaves or its address belongs to another one: no new work, ever.
  void Leave() { leaving_.store(true, std::memory_order_relaxed); }
  bool leaving() const { return leaving_.load(std::memory_order_relaxed); }

  // Successes end a row of failures; each failure of a row doubles the time
  // without new work, from kFirstAvoidance to kLongestAvoidance.
  void Succeeded() {
    NoteResult(0);
    if (failures_.load(std::memory_order_relaxed) != 0) {
      failures_.store(0, std::memory_order_relaxed);
    }
  }
  void Failed(time_point now) {
    NoteResult(kPermille);
    const std::uint32_t row =
        failures_.fetch_add(1, std::memory_order_relaxed) + 1;
    if (row < kToleratedFailures) {
      return;
    }
    const std::uint32_t doublings = row - kToleratedFailures < kMostDoublings
                                        ? row - kToleratedFailures
                                        : kMostDoublings;
    const duration wait = kFirstAvoidance * (1U << doublings);
    avoid_until_us_.store((now + wait).time_since_epoch().count(),
                          std::memory_order_relaxed);
  }
  // No connection to it came about. That says more than a failed call: what
  // listens there is gone or cut off.
  void Unreachable(time_point now) {
    if (failures_.load(std::memory_order_relaxed) + 1 < kToleratedFailures) {
      failures_.store(kToleratedFailures - 1, std::memory_order_relaxed);
    }
    Failed(now);
  }
  // It turned a call away because it is full.
  void TurnedAway(time_point now) {
    const std::int64_t until = (now + kFullPause).time_since_epoch().count();
    if (avoid_until_us_.load(std::memory_order_relaxed) < until) {
      avoid_until_us_.store(until, std::memory_order_relaxed);
    }
  }
  // Share of the last calls that failed, in thousandths.
  std::uint32_t failed_permille() const {
    return failed_permille_.load(std::memory_order_relaxed);
  }
  bool Avoided(time_point now) const {
    return now.time_since_epoch().count() <
           avoid_until_us_.load(std::memory_order_relaxed);
  }

 private:
  static constexpr std::uint32_t kPermille = 1000;
  // Calls over which the share of failures is averaged.
  static constexpr std::uint32_t kAveragedCalls = 16;

  // Threads may lose an update to each other; the average only steers.
  void NoteResult(std::uint32_t permille) {
    const std::uint32_t before = failed_permille();
    failed_permille_.store(
        (before * (kAveragedCalls - 1) + permille) / kAveragedCalls,
        std::memory_order_relaxed);
  }

  // One failure says little: upstreams fail a few calls in a thousand.
  static constexpr std::uint32_t kToleratedFailures = 3;
  // A full upstream ends a few calls within this time.
  static constexpr duration kFullPause = std::chrono::milliseconds(100);
  static constexpr duration kFirstAvoidance = std::chrono::milliseconds(500);
  // 500 ms to 4 s: a crashed upstream is gone from the store by then.
  static constexpr std::uint32_t kMostDoublings = 3;

  upstream_announcement announced_;
  std::uint64_t hash_;
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> unread_tokens_{0};
  std::atomic<std::uint32_t> elsewhere_running_{0};
  std::atomic<std::uint32_t> elsewhere_unread_{0};
  std::atomic<std::uint32_t> failures_{0};
  std::atomic<std::uint32_t> failed_permille_{0};
  std::atomic<std::int64_t> avoid_until_us_{0};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> well_known_{true};
};

// What all calls of this instance to one service share.
struct service_meter {
  retry_budget retries;
  // Of first tokens that this instance has seen.
  delay_bias first_token;
  // Prompt tokens that upstreams had to read for this instance.
  std::atomic<std::uint64_t> read_tokens{0};
};

struct upstream_pool {
  std::string service;
  bool model = false;
  std::shared_ptr<service_meter> meter;
  std::vector<std::shared_ptr<pooled_upstream>> members;
};

}  // namespace anvilloom

#endif  // LINKS_POOLED_UPSTREAM_H_
