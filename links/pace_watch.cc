#include "links/pace_watch.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace anvilloom {

namespace {

using member = std::shared_ptr<pooled_upstream>;

// Returns the upstreams of a pool to which this instance limits its calls.
std::vector<member> FindLimited(const upstream_pool& pool, time_point now) {
  const bool reports = std::ranges::any_of(
      pool.members, [](const member& each) { return each->reports_load(); });
  std::vector<member> found;
  std::ranges::copy_if(
      pool.members, std::back_inserter(found),
      [&](const member& each) { return each->IsPaced(reports, now); });
  if (!CanPace(found.size(), pool.members.size())) {
    found.clear();
  }
  return found;
}

// `is_member` if the upstream is still in its pool.
pace_end EndOf(const pooled_upstream& upstream, bool is_member) {
  if (!is_member) {
    return pace_end::kGone;
  }
  return upstream.pacing().active() ? pace_end::kNoOthers : pace_end::kAnswers;
}

}  // namespace

std::string_view Name(pace_end end) {
  switch (end) {
    case pace_end::kNone:
      return "none";
    case pace_end::kAnswers:
      return "answers";
    case pace_end::kNoOthers:
      return "no_others";
    case pace_end::kGone:
      return "gone";
  }
  return "unknown";
}

std::vector<pace_change> pace_watch::FindChanges(const pools& current,
                                                 time_point now) {
  std::vector<pace_change> found;
  std::set<std::uint64_t> members;
  std::set<std::uint64_t> still_limited;
  for (const auto& [service, pool] : current) {
    for (const member& each : pool.members) {
      members.insert(each->hash());
    }
    for (const member& each : FindLimited(pool, now)) {
      still_limited.insert(each->hash());
      if (limited_.try_emplace(each->hash(), limited{each, now}).second) {
        Add({each->announced().id, service, pace_end::kNone,
             each->pacing().state(), each->IsCold(now)},
            now, found);
      }
    }
  }
  std::erase_if(limited_, [&](const auto& entry) {
    const auto& [hash, known] = entry;
    if (still_limited.contains(hash)) {
      return false;
    }
    const pooled_upstream& upstream = *known.upstream;
    Add({upstream.announced().id, upstream.announced().service,
         EndOf(upstream, members.contains(hash)), upstream.pacing().state(),
         upstream.IsCold(now), now - known.since},
        now, found);
    return true;
  });
  return found;
}

void pace_watch::Add(pace_change change,
                     time_point now,
                     std::vector<pace_change>& found) {
  if (interval_end_.Expired(now)) {
    interval_end_ = deadline::After(now, kInterval);
    found_in_interval_ = 0;
  }
  if (found_in_interval_ == kChangesPerInterval) {
    ++left_out_;
    return;
  }
  ++found_in_interval_;
  change.left_out = std::exchange(left_out_, 0);
  found.push_back(std::move(change));
}

std::vector<stated_slowdown> pace_watch::FindSlowdowns(const pools& current,
                                                       time_point now) {
  // Less than that differs from the usual time no more than single answers do.
  constexpr std::uint32_t kUsualPermille = 1000;
  constexpr auto kMinPermille =
      static_cast<std::uint32_t>(upstream_pace::kSoundRatio * kUsualPermille);
  std::vector<stated_slowdown> found;
  for (const auto& [service, pool] : current) {
    deadline& next =
        next_slowdown_.try_emplace(service, deadline(time_point::min()))
            .first->second;
    if (!next.Expired(now)) {
      continue;
    }
    stated_slowdown sum;
    sum.service = service;
    for (const member& each : pool.members) {
      const std::uint32_t stated = each->TakeLargestSlowdown();
      if (stated <= kMinPermille) {
        continue;
      }
      ++sum.upstreams;
      if (stated > sum.permille) {
        sum.permille = stated;
        sum.slowest = each->announced().id;
      }
    }
    if (sum.upstreams > 0) {
      next = deadline::After(now, kInterval);
      found.push_back(std::move(sum));
    }
  }
  std::erase_if(next_slowdown_, [&](const auto& entry) {
    return !current.contains(entry.first);
  });
  return found;
}

}  // namespace anvilloom
