// Defines reported_load, what an upstream has said about its load, and how much
// of it still counts after some time.
#ifndef LINKS_ENGINE_SLOWDOWN_H_
#define LINKS_ENGINE_SLOWDOWN_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

#include "common/time.h"
#include "contracts/upstream_load_figures.h"

namespace anvilloom {

// A number together with the time at which it was seen, in one atomic, so that
// they are always read together. Thread-safe.
class timed_reading {
 public:
  struct reading {
    std::uint32_t value = 0;
    time_point seen_at;
  };

  // Values from 2^20 on are kept as 2^20 - 1.
  void Store(std::uint32_t value, time_point now) {
    const std::uint64_t kept = std::min(value, kMaxValue);
    const auto ms = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch())
            .count());
    packed_.store(((ms + 1) << kValueBits) | kept, std::memory_order_relaxed);
  }
  // Returns nothing before the first Store().
  std::optional<reading> Load() const {
    const std::uint64_t packed = packed_.load(std::memory_order_relaxed);
    if (packed == 0) {
      return std::nullopt;
    }
    const auto ms = static_cast<std::int64_t>((packed >> kValueBits) - 1);
    return reading{static_cast<std::uint32_t>(packed & kMaxValue),
                   time_point(std::chrono::milliseconds(ms))};
  }

 private:
  static constexpr std::uint32_t kValueBits = 20;
  static constexpr std::uint32_t kMaxValue = (1U << kValueBits) - 1;

  std::atomic<std::uint64_t> packed_{0};
};

// How much a figure of this age still says about the present: 1 if it was seen
// just now, 1/e after one time constant.
inline double RemainingWeight(duration age, duration time_constant) {
  const double constants =
      static_cast<double>(std::max(age, duration::zero()).count()) /
      static_cast<double>(time_constant.count());
  return std::exp(-constants);
}

// Average over time of a number that is known at intervals only. Added to by
// one thread, read by any.
class average_over_time {
 public:
  explicit average_over_time(duration time_constant)
      : time_constant_(time_constant) {}

  void Add(double value, time_point now) {
    const auto before = average_.Load();
    double average = value;
    if (before) {
      // Over the whole time until that is as long as the time constant.
      const double passed = Microseconds(now - before->seen_at);
      const double weight =
          std::max(1 - RemainingWeight(now - before->seen_at, time_constant_),
                   passed / std::max(Microseconds(now - since_), 1.0));
      const double known = before->value / kUnit;
      average = known + (value - known) * std::min(weight, 1.0);
    } else {
      since_ = now;
    }
    average_.Store(static_cast<std::uint32_t>(std::lround(average * kUnit)),
                   now);
  }
  // Zero before the first number.
  double value() const {
    const auto known = average_.Load();
    return known ? known->value / kUnit : 0;
  }

 private:
  // The average is kept as a fraction of this, which allows for numbers of some
  // thousand.
  static constexpr double kUnit = 128;

  static double Microseconds(duration time) {
    return static_cast<double>(time.count());
  }

  duration time_constant_;
  // Time of the first number.
  time_point since_;
  timed_reading average_;
};

// The latest figures that an upstream has put on its answers to this instance.
// Thread-safe.
class reported_load {
 public:
  // With slow-downs of 600 ms, a figure that is older than about this no longer
  // shortens answers; the same holds for the calls of other instances. Measured
  // in docs/design/uneven-engines.md.
  static constexpr duration kSlowdownTimeConstant =
      std::chrono::milliseconds(200);
  static constexpr duration kCallsTimeConstant = std::chrono::milliseconds(200);

  // `own_calls` is the number of calls that this instance has there now.
  void Record(const upstream_load_figures& figures,
              std::uint32_t own_calls,
              time_point now) {
    const std::uint32_t calls = figures.running + figures.waiting;
    calls_of_others_.Store(calls > own_calls ? calls - own_calls : 0, now);
    slots_.store(figures.slots, std::memory_order_relaxed);
    std::uint32_t largest = largest_permille_.load(std::memory_order_relaxed);
    while (largest < figures.slowdown_permille &&
           !largest_permille_.compare_exchange_weak(
               largest, figures.slowdown_permille, std::memory_order_relaxed)) {
    }
    RecordSlowdown(figures.slowdown_permille, now);
  }
  // Ignores the value that stands for an unknown slow-down.
  void RecordSlowdown(std::uint32_t permille, time_point now) {
    if (permille != 0) {
      slowdown_permille_.Store(permille, now);
    }
  }

  // Returns the largest slow-down since the last call; 0 without one.
  std::uint32_t TakeLargestSlowdown() {
    return largest_permille_.exchange(0, std::memory_order_relaxed);
  }

  // Whether the upstream reports figures at all.
  bool known() const { return calls_of_others_.Load().has_value(); }
  std::uint32_t slots() const { return slots_.load(std::memory_order_relaxed); }

  // Expected time of work relative to the usual time: the figure that was seen,
  // which tends to 1 with its age. 1 without a figure.
  double Slowdown(time_point now) const {
    const auto seen = slowdown_permille_.Load();
    if (!seen) {
      return 1.0;
    }
    constexpr double kPermille = 1000;
    return 1.0 +
           (seen->value / kPermille - 1.0) *
               RemainingWeight(now - seen->seen_at, kSlowdownTimeConstant);
  }

  // Expected number of calls that other instances have there: the figure that
  // was seen, which tends to `by_reports` with its age.
  double CallsOfOthers(double by_reports,
                       time_point now,
                       duration time_constant = kCallsTimeConstant) const {
    const auto seen = calls_of_others_.Load();
    if (!seen) {
      return by_reports;
    }
    return by_reports + (seen->value - by_reports) *
                            RemainingWeight(now - seen->seen_at, time_constant);
  }

 private:
  timed_reading calls_of_others_;
  timed_reading slowdown_permille_;
  std::atomic<std::uint32_t> slots_{0};
  std::atomic<std::uint32_t> largest_permille_{0};
};

}  // namespace anvilloom

#endif  // LINKS_ENGINE_SLOWDOWN_H_
