#include "links/held_calls.h"

#include <algorithm>

#include "links/pooled_upstream.h"

namespace anvilloom {

namespace {

// Part of the latency target for which a call may be held.
constexpr std::int64_t kHoldDivisor = 8;

}  // namespace

hold_decision DecideHold(const upstream_pool& pool,
                         const hold_terms& terms,
                         time_point now) {
  const deadline last =
      deadline::After(terms.arrived, terms.latency_target / kHoldDivisor)
          .Earlier(terms.answer_by);
  if (last.Expired(now)) {
    return hold_decision::kDoNotHold;
  }
  const auto takes_calls = [&](time_point at) {
    return std::ranges::any_of(pool.members, [at](const auto& each) {
      return !each->leaving() && each->refuses_until().Expired(at);
    });
  };
  if (takes_calls(now)) {
    return hold_decision::kOpen;
  }
  return takes_calls(last.at()) ? hold_decision::kHold
                                : hold_decision::kDoNotHold;
}

std::size_t held_calls::LevelOf(std::uint32_t urgency) {
  return std::min<std::size_t>(urgency, kLevels - 1);
}

held_calls::place::place(held_calls& calls, std::uint32_t urgency)
    : calls_(calls),
      level_(LevelOf(urgency)),
      held_(calls.total_.fetch_add(1, std::memory_order_relaxed) < kMaxHeld) {
  if (held_) {
    calls_.by_urgency_[level_].fetch_add(1, std::memory_order_relaxed);
  }
}

held_calls::place::~place() {
  if (held_) {
    calls_.by_urgency_[level_].fetch_sub(1, std::memory_order_relaxed);
  }
  calls_.total_.fetch_sub(1, std::memory_order_relaxed);
}

bool held_calls::TryLeave(std::uint32_t urgency, time_point now) {
  for (std::size_t i = 0; i < LevelOf(urgency); ++i) {
    if (by_urgency_[i].load(std::memory_order_relaxed) > 0) {
      return false;
    }
  }
  const std::int64_t now_us = now.time_since_epoch().count();
  std::int64_t next = next_leave_us_.load(std::memory_order_relaxed);
  return now_us >= next &&
         next_leave_us_.compare_exchange_strong(
             next, now_us + kLeaveInterval.count(), std::memory_order_relaxed);
}

}  // namespace anvilloom
