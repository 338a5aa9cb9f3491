// Defines gateway_state, the state shared by the threads of an entry instance
// on the users' platform.
#ifndef ENTRY_GATEWAY_STATE_H_
#define ENTRY_GATEWAY_STATE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "common/rcu.h"
#include "contracts/usage_ledger.h"
#include "entry/gateway_settings.h"
#include "entry/serving_view.h"
#include "instances/rollout_work.h"
#include "instances/stop_schedule.h"
#include "instances/store_era.h"
#include "links/crash_suspects.h"
#include "links/prefix_locations.h"
#include "wire/boot_clock.h"
#include "wire/memory_account.h"
#include "wire/steady_clock.h"
#include "wire/wall_clock.h"

namespace anvilloom {

// A histogram of latencies with bucket bounds that double from 1 ms to 16 s.
// Thread-safe.
class latency_histogram {
 public:
  static constexpr std::size_t kBuckets = 16;

  void Add(duration latency);
  std::uint64_t bucket(std::size_t index) const {
    return buckets_[index].load(std::memory_order_relaxed);
  }
  // Upper bound of a bucket in microseconds; the last bucket is unbounded.
  static duration UpperBound(std::size_t index);

 private:
  std::array<std::atomic<std::uint64_t>, kBuckets> buckets_{};
};

// Counters of calls since the process started.
struct gateway_counters {
  std::atomic<std::uint64_t> calls{0};
  std::atomic<std::uint64_t> delivered{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> denied{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> abandoned{0};
  std::atomic<std::uint64_t> repeats{0};
  std::atomic<std::uint64_t> resumed_streams{0};
  // Entries of the store that name no usable upstream, by revision.
  std::atomic<std::uint64_t> ignored_entries{0};
  // Attempts that failed because the memory for incomplete answers was used up.
  std::atomic<std::uint64_t> oversized_answers{0};
  // Calls that were refused because the capacity of their service was short:
  // they would have been late, more urgent calls needed it, or their workspace
  // had got its share.
  std::atomic<std::uint64_t> refused_late{0};
  std::atomic<std::uint64_t> refused_for_urgency{0};
  std::atomic<std::uint64_t> refused_over_share{0};
  // Attempts whose upstream ended while it was beginning to answer, and calls
  // that were refused because a part of their prompt crashes upstreams.
  std::atomic<std::uint64_t> crashed_attempts{0};
  std::atomic<std::uint64_t> blocked_calls{0};
  // Windows that were not reported, since the store may have lost final counts
  // of them which were sent.
  std::atomic<std::uint64_t> usage_windows_in_doubt{0};
  // Messages to other instances: those that wait to be sent, those that were
  // dropped, and the longest wait of those sent since the last report.
  std::atomic<std::uint64_t> queued_reports{0};
  std::atomic<std::uint64_t> dropped_reports{0};
  std::atomic<std::uint64_t> report_wait_us{0};
  latency_histogram first_byte;
  latency_histogram whole_answer;
};

struct usage_report;

// Members are set before the threads start, are atomics, or are read through
// read-copy-update.
struct gateway_state {
  explicit gateway_state(gateway_settings from)
      : settings(std::move(from)),
        epoch(static_cast<std::uint64_t>(WallClockMicros())),
        view(std::make_unique<std::shared_ptr<const serving_view>>(
            std::make_shared<serving_view>())),
        memory(settings.process.memory_bytes),
        wall_offset_us(OwnWallOffset()) {}

  // The local wall clock minus the monotonic clock, in microseconds.
  std::int64_t OwnWallOffset() const {
    return WallClockMicros() - clock.Now().time_since_epoch().count();
  }

  // Returns the view in force. The pointer keeps everything the view refers to
  // alive, also across suspensions.
  std::shared_ptr<const serving_view> View() const {
    const rcu_read_guard guard;
    return view.Read(guard);
  }
  void Publish(std::shared_ptr<const serving_view> next) {
    view.Publish(
        std::make_unique<std::shared_ptr<const serving_view>>(std::move(next)));
  }

  gateway_settings settings;
  // Start of the process in microseconds since 1970; distinguishes its runs.
  std::uint64_t epoch;
  steady_source clock;
  boot_source boot_clock;
  // The era of the store, and of what is known from it.
  store_era era;
  rcu_cell<std::shared_ptr<const serving_view>> view;
  prefix_locations locations;
  usage_ledger usage;
  // What clients and upstreams have sent and what has not been passed on.
  memory_account memory;
  gateway_counters counters;
  // The rollouts of this instance's services.
  rcu_cell<std::shared_ptr<const rollout_view>> rollouts{
      std::make_unique<const std::shared_ptr<const rollout_view>>(
          std::make_shared<const rollout_view>())};
  // Until when an instance that has not read the orders may call a service with
  // upstreams of several versions, in microseconds of the monotonic clock.
  std::atomic<std::int64_t> orders_unread_until_us{
      std::numeric_limits<std::int64_t>::max()};
  time_point OrdersUnreadUntil() const {
    return time_point(
        duration(orders_unread_until_us.load(std::memory_order_relaxed)));
  }
  std::shared_ptr<const service_rollout> FindRollout(
      std::string_view service) const {
    const rcu_read_guard guard;
    const rollout_view& known = *rollouts.Read(guard);
    const auto found = known.find(service);
    return found == known.end() ? nullptr : found->second;
  }
  void PublishRollouts(std::shared_ptr<const rollout_view> next) {
    rollouts.Publish(
        std::make_unique<const std::shared_ptr<const rollout_view>>(
            std::move(next)));
  }
  // What calls to services without an order may be sent to. The pointer keeps
  // the rules alive.
  rcu_cell<std::shared_ptr<const settled_rules>> settled{
      std::make_unique<const std::shared_ptr<const settled_rules>>(
          std::make_shared<const settled_rules>())};
  std::shared_ptr<const settled_rules> Settled() const {
    const rcu_read_guard guard;
    return settled.Read(guard);
  }
  void PublishSettled(settled_rules rules) {
    settled.Publish(
        std::make_unique<const std::shared_ptr<const settled_rules>>(
            std::make_shared<const settled_rules>(std::move(rules))));
  }

  // Called on any thread after the load of a model engine has changed.
  std::function<void(std::shared_ptr<const pooled_upstream>)> load_changed =
      [](const auto&) {};
  // Prompt parts that may crash upstreams, and what the caller threads see of
  // them: an upstream that ended before it had answered a call with these
  // parts, an answer to such a call, and a call that tries blocked parts.
  rcu_cell<suspect_view> suspects{std::make_unique<const suspect_view>()};
  std::function<void(std::vector<std::uint64_t>, crash_record)>
      upstream_crashed = [](const auto&, const auto&) {};
  std::function<void(std::vector<std::uint64_t>)> part_answered =
      [](const auto&) {};
  std::function<void(std::vector<std::uint64_t>)> part_tried = [](const auto&) {
  };
  // Returns the encoded news of the store for an instance that knows the
  // upstreams up to a revision, and a version of the manifest. Called on the
  // control thread.
  std::function<std::string(std::uint64_t through,
                            std::uint64_t manifest_version)>
      news_after = [](std::uint64_t, std::uint64_t) { return std::string(); };
  // Messages on the final counts of windows, sent on the control thread.
  struct usage_messages {
    // Tells the instances that may become the holder of the duties that the
    // counts have been stored, before they are reported.
    std::function<void(const usage_report&)> announce = [](const auto&) {};
    // Answers a question.
    std::function<void(std::string_view address, const usage_report&)> answer =
        [](auto, const auto&) {};
    // Asks another instance for the counts that it knows.
    std::function<void(std::string_view address,
                       std::span<const std::uint64_t> windows)>
        ask = [](auto, auto) {};
  };
  usage_messages usage_sender;
  // The wall-clock time in microseconds since 1970, on which most instances
  // agree.
  std::int64_t TimeOfDayMicros() const {
    return clock.Now().time_since_epoch().count() +
           wall_offset_us.load(std::memory_order_relaxed);
  }

  // The accounting window that contains the current wall-clock time.
  std::uint64_t CurrentWindow() const {
    return static_cast<std::uint64_t>(TimeOfDayMicros() /
                                      settings.usage_window.count());
  }

  std::atomic<std::int64_t> wall_offset_us;
  // Number of entry instances whose equal share of the limits is charged
  // because their actual grants are not known.
  std::atomic<std::uint32_t> unaccounted{0};
  std::atomic<bool> draining{false};
  // Set once, when a planned stop begins; null before.
  std::atomic<const stop_schedule*> stop{nullptr};
  // When the store held no newer manifest than the one in force, and until when
  // that one may be taken to be in force, in microseconds of the boot clock.
  static constexpr std::int64_t kNever =
      std::numeric_limits<std::int64_t>::min();
  std::atomic<std::int64_t> manifest_confirmed_us{kNever};
  std::atomic<std::int64_t> manifest_valid_until_us{kNever};
  // Time for which a newer manifest may have existed; unset before the first
  // one.
  std::optional<duration> ManifestAge() const {
    const std::int64_t at =
        manifest_confirmed_us.load(std::memory_order_relaxed);
    return at == kNever ? std::nullopt
                        : std::optional(boot_clock.Now().time_since_epoch() -
                                        duration(at));
  }
  // Whether a newer manifest may be in force, so that this one allows no final
  // refusal. Also after the store has come back from an older copy, until the
  // view is one of the present era.
  bool IsManifestInDoubt() const {
    return era.IsViewBehind() ||
           boot_clock.Now().time_since_epoch().count() >=
               manifest_valid_until_us.load(std::memory_order_relaxed);
  }
  // Calls that are not completely answered.
  std::atomic<std::uint32_t> unfinished{0};
};

}  // namespace anvilloom

#endif  // ENTRY_GATEWAY_STATE_H_
