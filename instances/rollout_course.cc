#include "instances/rollout_course.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <vector>

namespace anvilloom {

namespace {

// Part of the time limit in which the new version is observed. The rest has to
// suffice for the calls that run at the old version and for the status.
constexpr double kObservedShare = 0.55;
// Part after which a rollout that can't be moved is reverted, and one that has
// moved waits for nothing but calls that may run. The rest covers the write of
// the status.
constexpr double kLateShare = 0.85;
// Calls to the new version without a verdict that count as enough, and the
// calls to the old one after which too few calls reach the new one.
constexpr std::uint64_t kEnoughCalls = 12;
constexpr std::uint64_t kManyOldCalls = 200;

double PassedShare(const rollout_record& record, std::uint64_t now_ms) {
  const double limit_ms =
      static_cast<double>(record.order.time_limit.count()) / 1000;
  const std::uint64_t passed = now_ms - std::min(now_ms, record.started_ms);
  return limit_ms > 0 ? static_cast<double>(passed) / limit_ms : 1;
}

// Whether the new version has answered as many calls as its exposure allows, so
// that waiting would show nothing more.
bool HasEnoughEvidence(const rollout_situation& situation) {
  if (situation.new_calls >= kEnoughCalls) {
    return true;
  }
  return situation.new_failures * 2 <= situation.new_calls &&
         (situation.new_calls > 0 || situation.old_calls < kManyOldCalls);
}

}  // namespace

bool IsLate(const rollout_record& record, std::uint64_t now_ms) {
  return PassedShare(record, now_ms) >= kLateShare;
}

std::optional<rollout_step> NextRolloutStep(
    const rollout_record& record,
    const rollout_situation& situation) {
  if (IsFinal(record.step)) {
    return std::nullopt;
  }
  if (record.order.time_limit <= duration::zero() || situation.is_bad) {
    return rollout_step::kReverted;
  }
  if (record.step == rollout_step::kMoved) {
    return situation.old_unused ? std::optional(rollout_step::kCompleted)
                                : std::nullopt;
  }
  const double passed = PassedShare(record, situation.now_ms);
  if (passed >= kObservedShare && situation.has_new && situation.hears_others &&
      HasEnoughEvidence(situation)) {
    return rollout_step::kMoved;
  }
  return passed >= kLateShare ? std::optional(rollout_step::kReverted)
                              : std::nullopt;
}

rollout_members::member& rollout_members::Find(std::string_view name,
                                               std::uint64_t epoch,
                                               time_point now) {
  member& found = members_
                      .try_emplace(std::string(name),
                                   member{epoch, 0, rollout_step::kObserving, 0,
                                          false, now})
                      .first->second;
  if (epoch > found.epoch) {
    found = {epoch, 0, rollout_step::kObserving, 0, found.heard, now};
  }
  return found;
}

void rollout_members::Expect(std::string_view name,
                             std::uint64_t epoch,
                             bool heard,
                             time_point now) {
  member& found = Find(name, epoch, now);
  if (heard) {
    found.heard = true;
    found.heard_at = std::max(found.heard_at, now);
  }
}

void rollout_members::Take(std::string_view name,
                           std::uint64_t epoch,
                           std::uint64_t started_ms,
                           rollout_step step,
                           std::uint32_t old_running,
                           time_point now) {
  member& found = Find(name, epoch, now);
  if (epoch == found.epoch) {
    found = {epoch, started_ms, step, old_running, true, now};
  }
}

void rollout_members::Forget(time_point now) {
  std::erase_if(members_, [now](const auto& entry) {
    return entry.second.heard_at + kGoneAfter < now;
  });
}

bool rollout_members::HearsOthers(duration age, time_point now) const {
  constexpr std::ptrdiff_t kNeededDivisor = 4;
  const auto heard = std::ranges::count_if(members_, [&](const auto& entry) {
    return entry.second.heard && entry.second.heard_at + age >= now;
  });
  return heard * kNeededDivisor >= std::ssize(members_);
}

time_point rollout_members::HeardMostAt(time_point now) const {
  // With this instance, one more than half of all.
  const std::size_t needed = (members_.size() + 1) / 2;
  if (needed == 0) {
    return now;
  }
  std::vector<time_point> heard;
  heard.reserve(members_.size());
  for (const auto& [name, each] : members_) {
    heard.push_back(each.heard ? each.heard_at : time_point::min());
  }
  const auto at = heard.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::ranges::nth_element(heard, at, std::greater<>());
  return *at;
}

bool rollout_members::IsOldUnused(std::uint64_t started_ms,
                                  const silence_bound& bound,
                                  time_point now) const {
  std::size_t silent = 0;
  for (const auto& [name, each] : members_) {
    const bool knows_order = each.started_ms == started_ms;
    if (knows_order && each.step >= rollout_step::kMoved &&
        each.old_running == 0) {
      continue;
    }
    const time_point stopped_at =
        std::max(each.heard_at, bound.closed_at) + bound.sends;
    const duration longest =
        knows_order
            ? bound.longest_call
            : std::max(bound.longest_call, kLongestPartition - bound.sends);
    if (now <= stopped_at || (!bound.is_late && now <= stopped_at + longest)) {
      return false;
    }
    ++silent;
  }
  return silent * 2 <= members_.size() + 1;
}

}  // namespace anvilloom
