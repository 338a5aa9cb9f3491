// Defines rollout_evidence, the results of the calls to two versions of a
// service, and rollout_counters, which collects them on the path of the calls.
#ifndef INSTANCES_ROLLOUT_EVIDENCE_H_
#define INSTANCES_ROLLOUT_EVIDENCE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace anvilloom {

// Results of ended calls since the order, or since the process started.
struct rollout_counts {
  std::uint32_t calls = 0;
  std::uint32_t failures = 0;
  // Calls whose delay could be compared, and those that were slow.
  std::uint32_t timed = 0;
  std::uint32_t slow = 0;

  rollout_counts& operator+=(const rollout_counts& other) {
    calls += other.calls;
    failures += other.failures;
    timed += other.timed;
    slow += other.slow;
    return *this;
  }
  rollout_counts& operator-=(const rollout_counts& other) {
    calls -= other.calls;
    failures -= other.failures;
    timed -= other.timed;
    slow -= other.slow;
    return *this;
  }

  friend bool operator==(const rollout_counts&,
                         const rollout_counts&) = default;
};

// The calls of one route to upstreams that were loaded, or were not.
struct rollout_cell {
  std::uint64_t route = 0;
  bool loaded = false;
  rollout_counts old_version;
  rollout_counts new_version;

  friend bool operator==(const rollout_cell&, const rollout_cell&) = default;
};

// Routes that are told apart; the calls of further ones are counted together.
// Bounds the size of a report.
inline constexpr std::size_t kRolloutRoutes = 8;
inline constexpr std::size_t kRolloutCells = kRolloutRoutes * 2;

using rollout_evidence = std::vector<rollout_cell>;

// The result of one call.
struct rollout_result {
  std::uint64_t route = 0;
  bool loaded = false;
  bool is_new = false;
  bool failed = false;
  // The delay of the call in any unit that makes calls of one route comparable;
  // unset if it says nothing about the version.
  std::optional<double> delay;
};

// Thread-safe.
class rollout_counters {
 public:
  void Record(const rollout_result& result) {
    route_slot& slot = FindSlot(result.route);
    cell& into =
        slot.cells[(result.loaded ? 2U : 0U) + (result.is_new ? 1U : 0U)];
    into.calls.fetch_add(1, std::memory_order_relaxed);
    if (result.failed) {
      into.failures.fetch_add(1, std::memory_order_relaxed);
    }
    if (!result.delay || !(*result.delay > 0)) {
      return;
    }
    if (slot.samples.load(std::memory_order_relaxed) >= kMinSamples) {
      into.timed.fetch_add(1, std::memory_order_relaxed);
      const bool slow =
          *result.delay >
          kSlowFactor * slot.usual.load(std::memory_order_relaxed);
      into.slow.fetch_add(slow ? 1 : 0, std::memory_order_relaxed);
    }
    if (!result.is_new) {
      LearnUsual(slot, *result.delay);
    }
  }

  rollout_evidence Snapshot() const {
    rollout_evidence evidence;
    for (const route_slot& slot : slots_) {
      const std::uint64_t route = slot.route.load(std::memory_order_relaxed);
      for (std::size_t loaded = 0; route != 0 && loaded < 2; ++loaded) {
        const rollout_cell each{route, loaded == 1,
                                Read(slot.cells[loaded * 2]),
                                Read(slot.cells[loaded * 2 + 1])};
        if (each.old_version.calls + each.new_version.calls > 0) {
          evidence.push_back(each);
        }
      }
    }
    return evidence;
  }

 private:
  // A bad version is several times slower, and the delays of one sound version
  // vary by less than this most of the time.
  static constexpr double kSlowFactor = 2.2;
  // Calls to the old version by which the usual delay of a route is known.
  static constexpr std::uint32_t kMinSamples = 3;
  // Step by which the estimate of the median follows a call.
  static constexpr double kMedianStep = 0.05;

  struct cell {
    std::atomic<std::uint32_t> calls{0};
    std::atomic<std::uint32_t> failures{0};
    std::atomic<std::uint32_t> timed{0};
    std::atomic<std::uint32_t> slow{0};
  };
  struct route_slot {
    // 0 if the slot is free.
    std::atomic<std::uint64_t> route{0};
    std::atomic<std::uint32_t> samples{0};
    // Estimated median of the delays of the old version. An instance compares
    // its own delays, so a slow instance is no sign of a slow version.
    std::atomic<double> usual{0};
    std::array<cell, 4> cells;
  };

  static rollout_counts Read(const cell& from) {
    return {from.calls.load(std::memory_order_relaxed),
            from.failures.load(std::memory_order_relaxed),
            from.timed.load(std::memory_order_relaxed),
            from.slow.load(std::memory_order_relaxed)};
  }

  // Concurrent updates may lose a sample, which the estimate tolerates.
  static void LearnUsual(route_slot& slot, double delay) {
    const std::uint32_t before =
        slot.samples.fetch_add(1, std::memory_order_relaxed);
    const double usual = slot.usual.load(std::memory_order_relaxed);
    if (before < kMinSamples) {
      slot.usual.store(usual + (delay - usual) / (before + 1),
                       std::memory_order_relaxed);
    } else {
      slot.usual.store(
          usual * (delay > usual ? 1 + kMedianStep : 1 - kMedianStep),
          std::memory_order_relaxed);
    }
  }

  route_slot& FindSlot(std::uint64_t route) {
    for (std::size_t i = 0; i + 1 < slots_.size(); ++i) {
      std::uint64_t known = 0;
      if (slots_[i].route.compare_exchange_strong(known, route,
                                                  std::memory_order_relaxed) ||
          known == route) {
        return slots_[i];
      }
    }
    std::uint64_t known = 0;
    slots_.back().route.compare_exchange_strong(known, kOtherRoutes,
                                                std::memory_order_relaxed);
    return slots_.back();
  }

  static constexpr std::uint64_t kOtherRoutes = 1;

  std::array<route_slot, kRolloutRoutes> slots_;
};

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_EVIDENCE_H_
