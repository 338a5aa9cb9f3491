#include "instances/rollout_verdict.h"

#include <algorithm>
#include <cmath>

namespace anvilloom {

namespace {

// Calls since the last update. Counts of a total never decrease.
rollout_counts Increase(const rollout_counts& total,
                        const rollout_counts& known) {
  rollout_counts increase = total;
  increase -= known;
  return increase;
}

}  // namespace

void rollout_tally::Take(std::string_view source,
                         const rollout_evidence& evidence) {
  const auto found = sources_.find(source);
  cells& known =
      found != sources_.end()
          ? found->second
          : sources_.emplace(std::string(source), cells{}).first->second;
  for (const rollout_cell& each : evidence) {
    const cell_key key{each.route, each.loaded};
    rollout_cell& last = known[key];
    // Reports may arrive out of order.
    if (each.old_version.calls + each.new_version.calls <
        last.old_version.calls + last.new_version.calls) {
      continue;
    }
    rollout_cell& sum = total_[key];
    sum.route = each.route;
    sum.loaded = each.loaded;
    sum.old_version += Increase(each.old_version, last.old_version);
    sum.new_version += Increase(each.new_version, last.new_version);
    last = each;
  }
}

rollout_evidence rollout_tally::Total() const {
  rollout_evidence evidence;
  for (const auto& [key, each] : total_) {
    evidence.push_back(each);
  }
  return evidence;
}

bool rollout_verdict::share_test::Take(const share_terms& terms,
                                       std::uint32_t old_version_calls,
                                       std::uint32_t old_version_hits,
                                       std::uint32_t calls,
                                       std::uint32_t hits) {
  old_calls += old_version_calls;
  old_hits += old_version_hits;
  if (old_calls > kRememberedCalls) {
    old_hits *= kRememberedCalls / old_calls;
    old_calls = kRememberedCalls;
  }
  if (calls == 0) {
    return false;
  }
  constexpr double kMaxShare = 0.95;
  const double sound =
      std::max(terms.usual, (old_hits + terms.usual * kPriorCalls) /
                                (old_calls + kPriorCalls));
  const double bad = std::min(
      kMaxShare, std::max(sound * terms.least_factor, sound + terms.least_bad));
  if (bad <= sound) {
    return false;
  }
  const double others = static_cast<double>(calls) - hits;
  sum +=
      hits * std::log(bad / sound) + others * std::log((1 - bad) / (1 - sound));
  sum = std::max(sum, 0.0);
  return sum >= kThreshold;
}

void rollout_verdict::Update(const rollout_evidence& total, bool judge_delay) {
  std::map<group_key, rollout_cell> sums;
  for (const rollout_cell& each : total) {
    for (const group_key key : {kAllCalls, kByLoad + (each.loaded ? 1U : 0U),
                                std::max<group_key>(each.route, kFirstRoute)}) {
      sums[key].old_version += each.old_version;
      sums[key].new_version += each.new_version;
    }
  }
  for (const auto& [key, sum] : sums) {
    UpdateGroup(groups_[key], sum, judge_delay);
  }
  const group& all = groups_[kAllCalls];
  new_calls_ = all.new_version.calls;
  new_failures_ = all.new_version.failures;
  old_calls_ = all.old_version.calls;
}

void rollout_verdict::UpdateGroup(group& known,
                                  const rollout_cell& total,
                                  bool judge_delay) {
  const rollout_counts before = Increase(total.old_version, known.old_version);
  const rollout_counts now = Increase(total.new_version, known.new_version);
  known.old_version = total.old_version;
  known.new_version = total.new_version;
  if (known.failures.Take(kFailureTerms, before.calls, before.failures,
                          now.calls, now.failures) &&
      !bad_) {
    bad_ = true;
    cause_ = "failures";
  }
  if (known.delay.Take(kSlowTerms, before.timed, before.slow,
                       judge_delay ? now.timed : 0,
                       judge_delay ? now.slow : 0) &&
      !bad_) {
    bad_ = true;
    cause_ = "delay";
  }
}

}  // namespace anvilloom
