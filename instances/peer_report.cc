#include "instances/peer_report.h"

#include <algorithm>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Windows of earlier processes are kept while a report may still be due.
constexpr std::size_t kKeptBegunBefore = 256;
// How long those of an instance are kept that is no member any more: usage is
// due ten seconds after its window, and a new holder reports three windows.
constexpr duration kKeptDeparted = std::chrono::seconds(60);
// Instances besides the one with the duties that get all usage, so that the
// next holder has it.
constexpr std::size_t kSuccessors = 3;

std::uint64_t UnitsOf(std::span<const granted_units> granted,
                      std::string_view workspace) {
  const auto found =
      std::ranges::find(granted, workspace, &granted_units::workspace);
  return found == granted.end() ? 0 : found->units;
}

}  // namespace

void report_board::Expect(std::string_view name,
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

void report_board::Take(const peer_report& report,
                        time_point now,
                        const charge_sink& charge) {
  if (report.name == own_name_) {
    return;
  }
  if (report.content == report_content::kChanges) {
    return;
  }
  const auto [known, joined] = peers_.try_emplace(report.name);
  peer& sender = known->second;
  if (joined) {
    Rejoin(report, sender);
  }
  if (report.content == report_content::kLoad) {
    TakeLoad(sender, report);
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
  const grant_time when =
      sender.heard ? grant_time::kSinceLastReport : grant_time::kUnknown;
  for (const granted_units& each : report.granted) {
    const std::uint64_t before =
        same_process ? UnitsOf(sender.last.granted, each.workspace) : 0;
    if (each.units > before && !IsSettling(report)) {
      charge(each.workspace, each.units - before, when);
    }
  }
  if (sender.heard && !same_process) {
    auto& kept = sender.begun_before;
    kept.insert(kept.end(), sender.last.begun.begin(), sender.last.begun.end());
    if (kept.size() > kKeptBegunBefore) {
      kept.erase(kept.begin(), kept.end() - kKeptBegunBefore);
    }
  }
  sender.address = report.address;
  sender.heard_at = now;
  sender.heard = true;
  sender.wall_offset_us = static_cast<std::int64_t>(report.wall_us) -
                          now.time_since_epoch().count();
  // What the report leaves out has not changed.
  std::vector<granted_units> kept;
  if (same_process) {
    kept = std::move(sender.last.granted);
  }
  sender.last = report;
  for (granted_units& each : kept) {
    if (UnitsOf(report.granted, each.workspace) == 0) {
      sender.last.granted.push_back(std::move(each));
    }
  }
}

void report_board::TakeLoad(peer& sender, const peer_report& report) {
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

void report_board::Rejoin(const peer_report& report, peer& sender) {
  const auto found = departed_.find(report.name);
  if (found == departed_.end()) {
    return;
  }
  const departed_process& left_behind = found->second;
  sender.begun_before = left_behind.begun_before;
  // The same process counts on from where it was.
  if (left_behind.epoch != report.epoch) {
    sender.begun_before.insert(sender.begun_before.end(),
                               left_behind.begun.begin(),
                               left_behind.begun.end());
  }
  departed_.erase(found);
}

std::vector<std::string> report_board::Sweep(time_point now) {
  std::erase_if(departed_, [&](const auto& entry) {
    return entry.second.removed_at + kKeptDeparted < now;
  });
  std::vector<std::string> removed;
  std::erase_if(peers_, [&](const auto& entry) {
    const peer& each = entry.second;
    const bool left = each.heard && each.last.leaving && IsSilent(each, now);
    const bool gone = left || each.heard_at + terms_.removed_after < now;
    if (gone) {
      removed.push_back(entry.first);
      departed_[entry.first] = {each.last.epoch, now, each.last.begun,
                                each.begun_before};
    }
    return gone;
  });
  return removed;
}

bool report_board::HasHeard(std::string_view name) const {
  const auto found = peers_.find(name);
  return found != peers_.end() && found->second.heard;
}

std::size_t report_board::Silent(time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      peers_, [&](const auto& entry) { return IsSilent(entry.second, now); }));
}

std::size_t report_board::Unaccounted(time_point now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [&](const auto& entry) {
        return IsSilent(entry.second, now) || IsSettling(entry.second.last);
      }));
}

std::vector<report_board::recipient> report_board::Recipients(
    time_point now) const {
  std::vector<std::pair<std::uint64_t, const peer*>> ranked;
  for (const auto& [name, each] : peers_) {
    // Silent ones come last: they would not take the duties over.
    const std::uint64_t order = IsSilent(each, now) ? UINT64_MAX : Hash64(name);
    ranked.emplace_back(order, &each);
  }
  std::ranges::sort(ranked);
  std::vector<recipient> recipients;
  for (const auto& [order, each] : ranked) {
    const bool successor = recipients.size() < kSuccessors;
    recipients.push_back(
        {each->address, successor || each->last.duty_fencing != 0});
  }
  return recipients;
}

std::vector<std::string> report_board::CoSenders(std::uint64_t upstream_hash,
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

std::map<std::uint64_t, sent_work> report_board::SentElsewhere(
    time_point now) const {
  std::map<std::uint64_t, sent_work> sums;
  for (const auto& [name, each] : peers_) {
    if (IsSilent(each, now)) {
      continue;
    }
    for (const sent_work& work : each.last.sent) {
      sent_work& sum = sums[work.upstream_hash];
      sum.running += work.running;
      sum.unread_tokens += work.unread_tokens;
    }
  }
  return sums;
}

std::map<std::pair<std::uint64_t, std::string>, std::uint64_t>
report_board::BegunElsewhere() const {
  std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> sums;
  const auto add = [&sums](std::span<const begun_requests> counts) {
    for (const begun_requests& count : counts) {
      sums[{count.window, count.workspace}] += count.requests;
    }
  };
  for (const auto& [name, each] : peers_) {
    add(each.last.begun);
    add(each.begun_before);
  }
  for (const auto& [name, process] : departed_) {
    add(process.begun);
    add(process.begun_before);
  }
  return sums;
}

std::uint64_t report_board::ReadElsewhere(std::string_view service) const {
  std::uint64_t sum = 0;
  for (const auto& [name, each] : peers_) {
    const auto found =
        std::ranges::find(each.last.read, service, &read_tokens::service);
    sum += found == each.last.read.end() ? 0 : found->tokens;
  }
  return sum;
}

std::int64_t report_board::MedianWallOffset(std::int64_t own_us,
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

std::uint64_t report_board::DutyFencingElsewhere(time_point now) const {
  std::uint64_t highest = 0;
  for (const auto& [name, each] : peers_) {
    if (!IsSilent(each, now)) {
      highest = std::max(highest, each.last.duty_fencing);
    }
  }
  return highest;
}

const peer_report* report_board::Verified(time_point now) const {
  const auto found = std::ranges::find_if(peers_, [&](const auto& entry) {
    return !IsSilent(entry.second, now) && entry.second.last.verified;
  });
  return found == peers_.end() ? nullptr : &found->second.last;
}

std::uint64_t report_board::NewestManifest() const {
  std::uint64_t newest = 0;
  for (const auto& [name, each] : peers_) {
    newest = std::max(newest, each.last.manifest_version);
  }
  return newest;
}

bool report_board::Precedes(std::string_view name,
                            const peer& each,
                            time_point now) const {
  return Hash64(name) < Hash64(own_name_) && !IsSilent(each, now) &&
         !each.last.leaving;
}

std::size_t report_board::Rank(time_point now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [&](const auto& entry) {
        return Precedes(entry.first, entry.second, now);
      }));
}

std::size_t report_board::WatchersBefore(time_point now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [&](const auto& entry) {
        return entry.second.last.watching &&
               Precedes(entry.first, entry.second, now);
      }));
}

}  // namespace anvilloom
