#include "links/suspect_view.h"

#include <algorithm>
#include <utility>

namespace anvilloom {

suspect_view::suspect_view(std::span<const std::uint64_t> suspected,
                           std::vector<blocked_group> groups)
    : group_of_(suspected.size(), kNotBlocked),
      answer_seen_(std::make_unique<std::atomic<bool>[]>(suspected.size())),
      groups_(std::move(groups)) {
  indices_.reserve(suspected.size());
  for (std::size_t i = 0; i < suspected.size(); ++i) {
    indices_.emplace(suspected[i], i);
  }
  for (std::size_t group = 0; group < groups_.size(); ++group) {
    for (const std::uint64_t part : groups_[group].parts) {
      group_of_[indices_.at(part)] = group;
    }
  }
}

std::optional<deadline> suspect_view::BlockedUntil(
    std::span<const std::uint64_t> parts,
    time_point now) const {
  std::optional<deadline> until;
  for (const blocked_group* each : BlockingGroups(parts)) {
    const bool may_try = each->trial_at.Expired(now) &&
                         !each->trial_taken->load(std::memory_order_relaxed);
    if (!may_try && (!until || until->at() < each->trial_at.at())) {
      until = each->trial_at;
    }
  }
  return until;
}

trial suspect_view::TakeTrials(std::span<const std::uint64_t> parts) const {
  const std::vector<const blocked_group*> blocking = BlockingGroups(parts);
  for (std::size_t i = 0; i < blocking.size(); ++i) {
    if (blocking[i]->trial_taken->exchange(true, std::memory_order_relaxed)) {
      for (const blocked_group* each : std::span(blocking).first(i)) {
        each->trial_taken->store(false, std::memory_order_relaxed);
      }
      return trial::kUnavailable;
    }
  }
  return blocking.empty() ? trial::kNotNeeded : trial::kTaken;
}

bool suspect_view::MustReportAnswer(
    std::span<const std::uint64_t> parts) const {
  if (indices_.empty()) {
    return false;
  }
  bool must_report = false;
  for (const std::uint64_t part : parts) {
    const auto found = indices_.find(part);
    if (found != indices_.end() && !answer_seen_[found->second].exchange(
                                       true, std::memory_order_relaxed)) {
      must_report = true;
    }
  }
  return must_report;
}

std::vector<const blocked_group*> suspect_view::BlockingGroups(
    std::span<const std::uint64_t> parts) const {
  if (groups_.empty()) {
    return {};
  }
  // A prompt may have a part more than once.
  std::vector<std::size_t> blocked;
  for (const std::uint64_t part : parts) {
    const auto found = indices_.find(part);
    if (found != indices_.end() && group_of_[found->second] != kNotBlocked) {
      blocked.push_back(found->second);
    }
  }
  if (blocked.empty()) {
    return {};
  }
  std::ranges::sort(blocked);
  blocked.erase(std::unique(blocked.begin(), blocked.end()), blocked.end());

  std::vector<std::size_t> present(groups_.size());
  for (const std::size_t index : blocked) {
    ++present[group_of_[index]];
  }
  const auto is_whole = [&](std::size_t group) {
    return present[group] == groups_[group].parts.size();
  };
  std::vector<const blocked_group*> blocking;
  for (std::size_t group = 0; group < groups_.size(); ++group) {
    if (is_whole(group) &&
        std::ranges::all_of(groups_[group].alternatives, is_whole)) {
      blocking.push_back(&groups_[group]);
    }
  }
  return blocking;
}

}  // namespace anvilloom
