#include "contracts/shared_allowance.h"

#include <algorithm>

namespace anvilloom {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

// The time in which `units` accrue, in microseconds.
std::int64_t AccrualUs(std::uint64_t units, const allowance_terms& terms) {
  return static_cast<std::int64_t>(units) * kMicrosPerSecond /
         static_cast<std::int64_t>(terms.per_second);
}

std::int64_t Micros(time_point at) {
  return at.time_since_epoch().count();
}

// Replaces the time at which a bucket is full by what `next` makes of it.
template <typename Next>
void Move(std::atomic<std::int64_t>& full_at_us, const Next& next) {
  std::int64_t before = full_at_us.load(std::memory_order_relaxed);
  for (;;) {
    const std::int64_t after = next(before);
    if (after == before || full_at_us.compare_exchange_weak(
                               before, after, std::memory_order_relaxed)) {
      return;
    }
  }
}

}  // namespace

bool shared_allowance::Admit(std::uint64_t units,
                             const allowance_terms& terms,
                             time_point now) {
  if (terms.per_second == 0) {
    admitted_.fetch_add(units, std::memory_order_relaxed);
    return true;
  }
  const std::int64_t now_us = Micros(now);
  const std::int64_t burst_us = AccrualUs(terms.burst, terms);
  std::int64_t full_at = full_at_us_.load(std::memory_order_relaxed);
  for (;;) {
    const std::int64_t from = std::max(full_at, now_us);
    if (from - now_us > burst_us) {
      return false;
    }
    if (full_at_us_.compare_exchange_weak(full_at,
                                          from + AccrualUs(units, terms),
                                          std::memory_order_relaxed)) {
      admitted_.fetch_add(units, std::memory_order_relaxed);
      return true;
    }
  }
}

void shared_allowance::Charge(std::uint64_t units,
                              const allowance_terms& terms,
                              time_point now) {
  if (terms.per_second == 0 || units == 0) {
    return;
  }
  Move(full_at_us_, [&](std::int64_t full_at) {
    return std::max(full_at, Micros(now)) + AccrualUs(units, terms);
  });
}

void shared_allowance::ChargeEarlier(std::uint64_t units,
                                     const allowance_terms& terms,
                                     time_point now) {
  if (terms.per_second == 0 || units == 0) {
    return;
  }
  const std::int64_t empty_at = Micros(now) + AccrualUs(terms.burst, terms);
  Move(full_at_us_, [&](std::int64_t full_at) {
    const std::int64_t charged =
        std::max(full_at, Micros(now)) + AccrualUs(units, terms);
    return std::max(full_at, std::min(charged, empty_at));
  });
}

void shared_allowance::TakeBack(std::uint64_t units,
                                const allowance_terms& terms,
                                time_point now) {
  if (terms.per_second == 0 || units == 0) {
    return;
  }
  const std::int64_t empty_at = Micros(now) + AccrualUs(terms.burst, terms);
  Move(full_at_us_, [&](std::int64_t full_at) {
    const std::int64_t left = full_at - AccrualUs(units, terms);
    return std::min(full_at, std::max(left, empty_at));
  });
}

void shared_allowance::Refund(std::uint64_t units,
                              const allowance_terms& terms) {
  admitted_.fetch_sub(units, std::memory_order_relaxed);
  if (terms.per_second != 0) {
    full_at_us_.fetch_sub(AccrualUs(units, terms), std::memory_order_relaxed);
  }
}

time_point shared_allowance::FreeAt(const allowance_terms& terms,
                                    time_point now) const {
  if (terms.per_second == 0) {
    return now;
  }
  const std::int64_t over = full_at_us_.load(std::memory_order_relaxed) -
                            AccrualUs(terms.burst, terms);
  return std::max(now, time_point(duration(over)));
}

}  // namespace anvilloom
