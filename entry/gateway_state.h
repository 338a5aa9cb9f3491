// Defines gateway_state, what the threads of an entry instance on the users'
// platform share.
#ifndef ENTRY_GATEWAY_STATE_H_
#define ENTRY_GATEWAY_STATE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "common/rcu.h"
#include "contracts/usage_ledger.h"
#include "entry/gateway_settings.h"
#include "entry/serving_view.h"
#include "links/placement.h"
#include "links/prefix_locations.h"
#include "wire/steady_clock.h"
#include "wire/wall_clock.h"

namespace anvilloom {

// A histogram of latencies with bounds that double from 1 ms to 16 s.
class latency_histogram {
 public:
  static constexpr std::size_t kBuckets = 16;

  void Add(duration latency);
  std::uint64_t bucket(std::size_t index) const {
    return buckets_[index].load(std::memory_order_relaxed);
  }
  // Upper bound of a bucket in microseconds; the last one has none.
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
  latency_histogram first_byte;
  latency_histogram whole_answer;
};

// Members are set before the threads start, or are atomics, or are read through
// read-copy-update.
struct gateway_state {
  explicit gateway_state(gateway_settings from)
      : settings(std::move(from)),
        epoch(static_cast<std::uint64_t>(WallClockMicros())),
        view(std::make_unique<std::shared_ptr<const serving_view>>(
            std::make_shared<serving_view>())),
        wall_offset_us(OwnWallOffset()) {}

  // The own clock's time of day minus the monotonic clock, in microseconds.
  std::int64_t OwnWallOffset() const {
    return WallClockMicros() - clock.Now().time_since_epoch().count();
  }

  // The view in force. Keeps what it names alive, across suspensions too.
  std::shared_ptr<const serving_view> View() const {
    const rcu_read_guard guard;
    return view.Read(guard);
  }
  void Publish(std::shared_ptr<const serving_view> next) {
    view.Publish(
        std::make_unique<std::shared_ptr<const serving_view>>(std::move(next)));
  }

  gateway_settings settings;
  // Start of the process, microseconds since 1970; tells its runs apart.
  std::uint64_t epoch;
  steady_source clock;
  rcu_cell<std::shared_ptr<const serving_view>> view;
  prefix_locations locations;
  placement_costs costs;
  usage_ledger usage;
  gateway_counters counters;
  // Called on any thread after the load of a model engine has changed.
  std::function<void(std::shared_ptr<const pooled_upstream>)> load_changed =
      [](const auto&) {};
  // The time of day in microseconds since 1970, as most instances have it.
  std::int64_t TimeOfDayMicros() const {
    return clock.Now().time_since_epoch().count() +
           wall_offset_us.load(std::memory_order_relaxed);
  }

  // The accounting window that this time of day lies in.
  std::uint64_t CurrentWindow() const {
    return static_cast<std::uint64_t>(TimeOfDayMicros() /
                                      settings.usage_window.count());
  }

  std::atomic<std::int64_t> wall_offset_us;
  // Entry instances whose even share is charged in place of their grants.
  std::atomic<std::uint32_t> unaccounted{0};
  std::atomic<bool> draining{false};
  // Whether the store has not answered for long enough that the manifest in
  // force may be an old one.
  std::atomic<bool> manifest_in_doubt{false};
  // Calls that have not been answered to the end. A planned stop waits for
  // them.
  std::atomic<std::uint32_t> unfinished{0};
};

}  // namespace anvilloom

#endif  // ENTRY_GATEWAY_STATE_H_
