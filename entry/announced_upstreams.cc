#include "entry/announced_upstreams.h"

#include <algorithm>
#include <vector>

#include "common/log.h"
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

void announced_upstreams::TakeList(
    std::span<const upstream_announcement> announced,
    time_point now) {
  bool changed = false;
  for (const std::string& id : builder_.UpstreamIds()) {
    if (std::ranges::find(announced, id, &upstream_announcement::id) ==
        announced.end()) {
      changed = Missing(id, now) || changed;
    }
  }
  for (const upstream_announcement& each : announced) {
    changed = Announce(each) || changed;
  }
  if (changed) {
    changed_();
  }
}

void announced_upstreams::Take(
    std::string_view id,
    const std::optional<upstream_announcement>& announced,
    time_point now) {
  bool changed = false;
  if (announced) {
    changed = Announce(*announced);
  } else {
    changed = Missing(id, now);
  }
  if (changed) {
    changed_();
  }
}

void announced_upstreams::NoteStore(bool reachable, time_point now) {
  reachable_ = reachable;
  if (reachable) {
    settled_at_ = deadline::After(now, kSettle);
  }
}

std::uint64_t announced_upstreams::digest() const {
  std::uint64_t digest = 0;
  for (const auto& [id, entry] : entries_) {
    digest ^= entry;
  }
  return digest;
}

bool announced_upstreams::Announce(const upstream_announcement& announced) {
  held_.erase(announced.id);
  entries_[announced.id] =
      CombineHash(CombineHash(Hash64(announced.id), announced.born_ms),
                  announced.draining ? 1 : 0);
  if (!builder_.Announce(announced)) {
    return false;
  }
  LogChange(announced.draining ? log_event::kUpstreamDraining
                               : log_event::kUpstreamJoined,
            announced.id, announced);
  return true;
}

bool announced_upstreams::Missing(std::string_view id, time_point now) {
  const auto entry = entries_.find(id);
  if (entry != entries_.end()) {
    entries_.erase(entry);
  }
  const pooled_upstream* known = builder_.Find(id);
  if (known == nullptr) {
    return false;
  }
  if (!known->leaving() && (!reachable_ || !settled_at_.Expired(now))) {
    held_.try_emplace(std::string(id), deadline::After(now, kHold));
    return false;
  }
  LogChange(log_event::kUpstreamGone, id, known->announced());
  return builder_.Remove(id);
}

void announced_upstreams::Sweep(time_point now) {
  std::vector<std::string> gone;
  for (const auto& [id, until] : held_) {
    if (until.Expired(now)) {
      gone.push_back(id);
    }
  }
  bool changed = false;
  for (const std::string& id : gone) {
    held_.erase(id);
    if (const pooled_upstream* known = builder_.Find(id)) {
      LogChange(log_event::kUpstreamGone, id, known->announced());
      changed = builder_.Remove(id) || changed;
    }
  }
  if (changed) {
    changed_();
  }
}

awaitable<void> announced_upstreams::Run() {
  for (;;) {
    co_await Pause(kSweepPause);
    Sweep(steady_source().Now());
  }
}

}  // namespace anvilloom
