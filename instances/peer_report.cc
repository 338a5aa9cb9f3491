#include "instances/peer_report.h"

#include <algorithm>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Reports list only the workspaces whose units have increased, but every two
// seconds a report lists all workspaces. The third second allows for the delay
// until that report arrives.
constexpr duration kFullGrantsInterval = std::chrono::seconds(3);

}  // namespace

void peer_report_table::Expect(std::string_view name,
                               std::string_view address,
                               time_point now) {
  if (name == own_name_ || peers_.contains(name)) {
    return;
  }
  peer expected;
  expected.address = address;
  expected.heard_at = now;
  peers_.emplace(name, std::move(expected));
}

void peer_report_table::Take(const peer_report& report,
                             time_point now,
                             const grant_sink& sink) {
  if (report.name == own_name_) {
    return;
  }
  if (report.content != report_content::kWhole &&
      report.content != report_content::kLoad) {
    return;
  }
  DetectPause(now);
  peer& sender = peers_[report.name];
  if (report.content == report_content::kLoad) {
    ApplyLoad(sender, report);
    return;
  }
  const bool same_process = sender.heard && sender.last.epoch == report.epoch;
  const bool stale =
      sender.heard &&
      (report.epoch < sender.last.epoch ||
       (same_process && report.sequence <= sender.last.sequence));
  if (stale) {
    return;
  }
  if (!same_process) {
    sender.units.clear();
    sender.was_running_before = !sender.heard && !IsStartingUp(report);
  }
  const duration covered = CoveredTime(report, sender, now);
  if (!same_process || IsSilent(sender, now)) {
    // The first report of a process that has just started lists all its grants.
    sender.grants_known_at =
        !same_process && IsStartingUp(report) ? now : now + kFullGrantsInterval;
  }
  ApplyGrants(report, sender, now, sink);
  ApplyDemand(report, sender, covered, now, sink);
  counts_.Take({report.name, report.epoch}, report.begun);
  sender.address = report.address;
  sender.heard_at = now;
  sender.heard = true;
  sender.wall_offset_us = static_cast<std::int64_t>(report.wall_us) -
                          now.time_since_epoch().count();
  sender.last = report;
}

void peer_report_table::ApplyGrants(const peer_report& report,
                                    peer& sender,
                                    time_point now,
                                    const grant_sink& sink) const {
  for (const granted_units& each : report.granted) {
    sender.units[each.workspace].granted = each.units;
  }
  if (sender.share_charged > duration::zero() &&
      now >= sender.grants_known_at) {
    sink.refund(sender.share_charged);
    sender.share_charged = duration::zero();
  }
  // The first reports of a process that was already running omit the workspaces
  // whose units have not increased recently.
  const bool incomplete =
      sender.was_running_before && now < sender.grants_known_at;
  for (auto& [workspace, units] : sender.units) {
    const bool unknown = HasJustResumed(now) || (!units.charged && incomplete);
    const std::uint64_t charged = units.charged.value_or(0);
    if (units.granted > charged) {
      sink.charge(
          {workspace, units.granted - charged,
           unknown ? grant_time::kUnknown : grant_time::kSinceLastReport});
    }
    units.charged = std::max(units.granted, charged);
  }
}

duration peer_report_table::CoveredTime(const peer_report& report,
                                        const peer& sender,
                                        time_point now) const {
  if (!report.has_refused) {
    return duration::zero();
  }
  if (sender.heard && sender.last.epoch == report.epoch) {
    return IsSilent(sender, now) ? duration::zero() : now - sender.heard_at;
  }
  // This instance may have started after the first reports of others that
  // started with it. A process serves no calls before its first report.
  return IsStartingUp(report) && report.sequence > 1
             ? duration(
                   static_cast<std::int64_t>(report.wall_us - report.epoch))
             : duration::zero();
}

void peer_report_table::ApplyDemand(const peer_report& report,
                                    peer& sender,
                                    duration covered,
                                    time_point now,
                                    const grant_sink& sink) {
  // As for the grants: what a workspace asked for before it was listed for the
  // first time may be long ago.
  const bool incomplete =
      sender.was_running_before && now < sender.grants_known_at;
  std::vector<asked_units> asked;
  for (const granted_units& each : report.granted) {
    const std::uint64_t total = each.units + each.refused;
    auto& last = sender.units[each.workspace].asked;
    const std::uint64_t before = last.value_or(incomplete ? total : 0);
    if (total > before) {
      asked.push_back({each.workspace, total - before});
    }
    last = total;
  }
  if (covered > duration::zero()) {
    sink.demand({covered, asked});
  }
}

void peer_report_table::DetectPause(time_point now) {
  if (last_active_at_ != time_point::min() &&
      now - last_active_at_ > silent_after_) {
    resumed_at_ = now;
  }
  last_active_at_ = now;
}

peer_report_table::assumed_grants peer_report_table::TakeAssumedGrants(
    time_point now) {
  DetectPause(now);
  const bool first = assumed_until_ == time_point::min();
  assumed_grants assumed;
  assumed.members = CountSilent(now);
  assumed.share =
      static_cast<double>(assumed.members) / static_cast<double>(Members());
  assumed.passed = first ? duration::zero() : now - assumed_until_;
  assumed_until_ = now;
  // Grants of others during a pause of this process are not charged as debt.
  if (assumed.passed > silent_after_) {
    assumed.when = grant_time::kUnknown;
    return assumed;
  }
  const duration share = assumed.passed / static_cast<std::int64_t>(Members());
  for (auto& [name, each] : peers_) {
    if (IsSilent(each, now)) {
      each.share_charged += share;
    }
  }
  return assumed;
}

void peer_report_table::ApplyLoad(peer& sender, const peer_report& report) {
  const bool newer = sender.heard && sender.last.epoch == report.epoch &&
                     sender.last.sequence < report.sequence;
  if (!newer) {
    return;
  }
  sender.last.sequence = report.sequence;
  for (const sent_work& each : report.sent) {
    const auto known = std::ranges::find(sender.last.sent, each.upstream_hash,
                                         &sent_work::upstream_hash);
    if (known == sender.last.sent.end()) {
      sender.last.sent.push_back(each);
    } else {
      *known = each;
    }
  }
}

std::vector<std::string> peer_report_table::Sweep(time_point now) {
  std::vector<std::string> removed;
  std::erase_if(peers_, [&](const auto& entry) {
    const peer& each = entry.second;
    const bool left = each.heard && each.last.leaving && IsSilent(each, now);
    const bool gone = left || each.heard_at + options_.removed_after < now;
    if (gone) {
      removed.push_back(entry.first);
    }
    return gone;
  });
  return removed;
}

std::vector<std::string> peer_report_table::Names() const {
  std::vector<std::string> names;
  names.reserve(peers_.size());
  for (const auto& [name, each] : peers_) {
    names.push_back(name);
  }
  return names;
}

bool peer_report_table::HasReported(std::string_view name) const {
  const auto found = peers_.find(name);
  return found != peers_.end() && found->second.heard;
}

std::size_t peer_report_table::CountSilent(time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      peers_, [&](const auto& entry) { return IsSilent(entry.second, now); }));
}

std::vector<peer_report_table::recipient> peer_report_table::Recipients(
    time_point now) const {
  std::vector<std::pair<std::uint64_t, const peer*>> ranked;
  for (const auto& [name, each] : peers_) {
    // Silent instances come last, since they would not take over the duties.
    const std::uint64_t order = IsSilent(each, now) ? UINT64_MAX : Hash64(name);
    ranked.emplace_back(order, &each);
  }
  std::ranges::sort(ranked);
  std::vector<recipient> recipients;
  for (const auto& [order, each] : ranked) {
    const bool successor = recipients.size() < kUsageReplicas;
    recipients.push_back(
        {each->address, successor || each->last.duty_fencing != 0});
  }
  return recipients;
}

std::vector<std::string> peer_report_table::LoadReportPeers(
    std::uint64_t upstream_hash,
    std::size_t count,
    time_point now) const {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  for (const auto& [name, each] : peers_) {
    if (!IsSilent(each, now) && !each.last.leaving) {
      ranked.emplace_back(CombineHash(Hash64(name), upstream_hash),
                          &each.address);
    }
  }
  const std::uint64_t own = CombineHash(Hash64(own_name_), upstream_hash);
  const auto before = static_cast<std::size_t>(std::ranges::count_if(
      ranked, [own](const auto& each) { return each.first < own; }));
  if (before >= count) {
    return {};
  }
  const std::size_t others = std::min(count - 1, ranked.size());
  std::ranges::partial_sort(
      ranked, ranked.begin() + static_cast<std::ptrdiff_t>(others));
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < others; ++i) {
    addresses.push_back(*ranked[i].second);
  }
  return addresses;
}

std::map<std::uint64_t, sent_work> peer_report_table::PeerUpstreamLoad(
    time_point now) const {
  std::map<std::uint64_t, sent_work> sums;
  for (const auto& [name, each] : peers_) {
    if (IsSilent(each, now)) {
      continue;
    }
    for (const sent_work& work : each.last.sent) {
      sums[work.upstream_hash].Add(work);
    }
  }
  return sums;
}

bool peer_report_table::AllReportedSince(time_point time) const {
  return std::ranges::all_of(peers_, [time](const auto& entry) {
    return entry.second.heard && entry.second.heard_at >= time;
  });
}

std::uint64_t peer_report_table::PeerReadTokens(
    std::string_view service) const {
  std::uint64_t sum = 0;
  for (const auto& [name, each] : peers_) {
    const auto found =
        std::ranges::find(each.last.read, service, &read_tokens::service);
    sum += found == each.last.read.end() ? 0 : found->tokens;
  }
  return sum;
}

std::vector<engine_profile> peer_report_table::PeerProfiles(
    std::string_view service) const {
  std::vector<engine_profile> profiles;
  for (const auto& [name, each] : peers_) {
    const auto found =
        std::ranges::find(each.last.read, service, &read_tokens::service);
    if (found != each.last.read.end() && found->profile.observations > 0) {
      profiles.push_back(found->profile);
    }
  }
  return profiles;
}

std::int64_t peer_report_table::MedianWallOffset(std::int64_t own_us,
                                                 time_point now) const {
  std::vector<std::int64_t> offsets = {own_us};
  for (const auto& [name, each] : peers_) {
    if (!IsSilent(each, now)) {
      offsets.push_back(each.wall_offset_us);
    }
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::ranges::nth_element(offsets, middle);
  return *middle;
}

std::uint64_t peer_report_table::PeerDutyFencing(time_point now) const {
  std::uint64_t highest = 0;
  for (const auto& [name, each] : peers_) {
    if (!IsSilent(each, now)) {
      highest = std::max(highest, each.last.duty_fencing);
    }
  }
  return highest;
}

const peer_report* peer_report_table::FindVerified(time_point now) const {
  const auto found = std::ranges::find_if(peers_, [&](const auto& entry) {
    return !IsSilent(entry.second, now) && entry.second.last.verified;
  });
  return found == peers_.end() ? nullptr : &found->second.last;
}

std::uint64_t peer_report_table::NewestManifest() const {
  std::uint64_t newest = 0;
  for (const auto& [name, each] : peers_) {
    newest = std::max(newest, each.last.manifest_version);
  }
  return newest;
}

bool peer_report_table::Precedes(std::string_view name,
                                 const peer& each,
                                 time_point now) const {
  return Hash64(name) < Hash64(own_name_) && !IsSilent(each, now) &&
         !each.last.leaving;
}

std::size_t peer_report_table::Rank(time_point now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [&](const auto& entry) {
        return Precedes(entry.first, entry.second, now);
      }));
}

std::size_t peer_report_table::WatchersBefore(time_point now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [&](const auto& entry) {
        return entry.second.last.watching &&
               Precedes(entry.first, entry.second, now);
      }));
}

}  // namespace anvilloom
