#include "entry/announced_upstreams.h"

#include <set>
#include <string_view>
#include <tuple>
#include <vector>

#include "common/log.h"
#include "instances/store_era.h"
#include "wire/pause.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

void LogChange(log_event event,
               std::string_view id,
               const upstream_announcement& announced) {
  Log(log_level::kInfo, event,
      {{"upstream", std::string(id)},
       {"service", announced.service},
       {"domain", announced.domain},
       {"address", announced.address},
       {"reclaimable", announced.reclaimable ? "yes" : "no"},
       {"born_ms", std::to_string(announced.born_ms)}});
}

}  // namespace

std::vector<upstream_change> announced_upstreams::ApplyList(
    std::uint64_t version,
    std::span<const upstream_change> announced,
    time_point now) {
  std::set<std::string_view> ids;
  for (const upstream_change& each : announced) {
    ids.insert(each.announced.id);
  }
  std::vector<upstream_change> listed;
  for (const auto& [id, entry] : entries_) {
    if (entry.present && !ids.contains(id)) {
      upstream_change& change = listed.emplace_back();
      change.version = version;
      change.removed = true;
      change.announced.id = id;
    }
  }
  listed.insert(listed.end(), announced.begin(), announced.end());
  return ApplyChanges(listed, now);
}

std::vector<upstream_change> announced_upstreams::ApplyChanges(
    std::span<const upstream_change> changes,
    time_point now) {
  std::vector<upstream_change> newer;
  bool view_changed = false;
  for (const upstream_change& each : changes) {
    if (ApplyIfNewer(each, now, view_changed)) {
      newer.push_back(each);
    }
  }
  if (view_changed) {
    changed_();
  }
  return newer;
}

bool announced_upstreams::ApplyIfNewer(const upstream_change& change,
                                       time_point now,
                                       bool& view_changed) {
  const upstream_announcement& announced = change.announced;
  entry_state& known = entries_[announced.id];
  // A removal may have the same version as the entry that it removes.
  const bool newer =
      change.version > known.version ||
      (change.version == known.version && change.removed && known.present);
  if (!newer) {
    return false;
  }
  const bool from_copy = IsFromCopy(change, known);
  const bool awaits_removal = AwaitsRemoval(change, known);
  known.version = change.version;
  known.present = !change.removed;
  if (from_copy) {
    return true;
  }
  if (!awaits_removal) {
    pending_returns_.erase(announced.id);
  }
  if (change.removed) {
    known.digest = 0;
    view_changed = HandleMissing(announced.id, now) || view_changed;
    return true;
  }
  known.born_ms = announced.born_ms;
  known.sequence = announced.sequence;
  known.digest =
      CombineHash(CombineHash(Hash64(announced.id), announced.born_ms),
                  announced.draining ? 1 : 0);
  if (awaits_removal) {
    DelayReturn(announced, now);
    return true;
  }
  view_changed = Announce(announced) || view_changed;
  if (announced.cold_remaining_ms > 0) {
    builder_.SetCold(announced.id,
                     deadline::After(now, std::chrono::milliseconds(
                                              announced.cold_remaining_ms)));
  }
  return true;
}

bool announced_upstreams::IsFromCopy(const upstream_change& change,
                                     const entry_state& known) {
  const upstream_announcement& announced = change.announced;
  return !change.removed && EraOf(change.version) > EraOf(known.version) &&
         std::tie(announced.born_ms, announced.sequence) <
             std::tie(known.born_ms, known.sequence);
}

bool announced_upstreams::AwaitsRemoval(const upstream_change& change,
                                        const entry_state& known) const {
  const upstream_announcement& announced = change.announced;
  if (change.removed || known.version == 0 ||
      announced.born_ms != known.born_ms) {
    return false;
  }
  // A removal that is still delayed has not been acted on.
  return pending_returns_.contains(announced.id) ||
         (!known.present && EraOf(change.version) > EraOf(known.version) &&
          !pending_removals_.contains(announced.id));
}

void announced_upstreams::DelayReturn(const upstream_announcement& announced,
                                      time_point now) {
  const auto [pending, is_new] = pending_returns_.try_emplace(
      announced.id,
      pending_return{announced, deadline::After(now, kRecoveryTime)});
  if (is_new) {
    LogChange(log_event::kUpstreamAwaitsRemoval, announced.id, announced);
  } else {
    pending->second.announced = announced;
  }
}

void announced_upstreams::SetStoreReachable(bool reachable, time_point now) {
  store_reachable_ = reachable;
  if (reachable) {
    recovery_ends_at_ = deadline::After(now, kRecoveryTime);
  }
}

std::uint64_t announced_upstreams::digest() const {
  std::uint64_t digest = 0;
  for (const auto& [id, entry] : entries_) {
    digest ^= entry.digest;
  }
  return digest;
}

bool announced_upstreams::Announce(const upstream_announcement& announced) {
  pending_removals_.erase(announced.id);
  if (!builder_.Announce(announced)) {
    return false;
  }
  LogChange(announced.draining ? log_event::kUpstreamDraining
                               : log_event::kUpstreamJoined,
            announced.id, announced);
  return true;
}

bool announced_upstreams::HandleMissing(std::string_view id, time_point now) {
  const pooled_upstream* known = builder_.Find(id);
  if (known == nullptr) {
    return false;
  }
  if (!known->leaving() &&
      (!store_reachable_ || !recovery_ends_at_.Expired(now))) {
    pending_removals_.try_emplace(std::string(id),
                                  deadline::After(now, kRemovalDelay));
    return false;
  }
  LogChange(log_event::kUpstreamGone, id, known->announced());
  return builder_.Remove(id);
}

void announced_upstreams::Sweep(time_point now) {
  std::vector<std::string> gone;
  for (const auto& [id, until] : pending_removals_) {
    if (until.Expired(now)) {
      gone.push_back(id);
    }
  }
  bool changed = false;
  for (const std::string& id : gone) {
    pending_removals_.erase(id);
    if (const pooled_upstream* known = builder_.Find(id)) {
      LogChange(log_event::kUpstreamGone, id, known->announced());
      changed = builder_.Remove(id) || changed;
    }
  }
  for (auto each = pending_returns_.begin(); each != pending_returns_.end();) {
    if (!each->second.at.Expired(now)) {
      ++each;
      continue;
    }
    changed = Announce(each->second.announced) || changed;
    each = pending_returns_.erase(each);
  }
  if (changed) {
    changed_();
  }
}

awaitable<void> announced_upstreams::Run() {
  for (;;) {
    co_await Pause(kSweepInterval);
    Sweep(steady_source().Now());
  }
}

}  // namespace anvilloom
