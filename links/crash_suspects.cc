#include "links/crash_suspects.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "common/hash.h"

namespace anvilloom {

namespace {

// A caller may send any number of parts; sound prompts have a few.
constexpr std::size_t kMaxParts = 16;
// A part that crashes upstreams explains at least one in this many of the ends
// that occur meanwhile, also while another part or a few failures cause others.
constexpr std::size_t kMinShareDivisor = 3;

// Returns when each of the upstreams ended that ended one after the other.
std::vector<time_point> SuccessiveCrashes(
    std::span<const crash_record> crashes) {
  std::set<std::uint64_t> upstreams;
  std::vector<time_point> counted;
  for (const crash_record& each : crashes) {
    const bool coincides =
        !counted.empty() &&
        each.at - crash_suspects::kCoincidence < counted.back();
    if (!coincides && upstreams.insert(each.upstream_hash).second) {
      counted.push_back(each.at);
    }
  }
  return counted;
}

std::size_t CountCrashes(std::span<const crash_record> crashes) {
  return SuccessiveCrashes(crashes).size();
}

std::size_t CountCalls(std::span<const crash_record> crashes) {
  std::set<std::uint64_t> calls;
  for (const crash_record& each : crashes) {
    calls.insert(each.call_hash);
  }
  return calls.size();
}

}  // namespace

std::vector<std::uint64_t> SuspectKeys(std::string_view service,
                                       const prompt_shape& prompt) {
  const std::span<const prompt_prefix> shared = prompt.Shared();
  const std::uint64_t service_hash = Hash64(service);
  std::vector<std::uint64_t> keys;
  for (const prompt_prefix& each :
       shared.first(std::min(shared.size(), kMaxParts))) {
    keys.push_back(CombineHash(service_hash, each.part));
  }
  return keys;
}

std::optional<deadline> suspect_view::BlockedUntil(
    std::span<const std::uint64_t> parts,
    time_point now) const {
  std::optional<deadline> until;
  for (const std::uint64_t part : parts) {
    const watched_part* known = FindBlocking(part, parts);
    if (known == nullptr) {
      continue;
    }
    const bool may_try = known->trial_at.Expired(now) &&
                         !known->trial_taken->load(std::memory_order_relaxed);
    if (!may_try && (!until || until->at() < known->trial_at.at())) {
      until = known->trial_at;
    }
  }
  return until;
}

trial suspect_view::TakeTrials(std::span<const std::uint64_t> parts) const {
  std::vector<const watched_part*> taken;
  for (const std::uint64_t part : parts) {
    const watched_part* known = FindBlocking(part, parts);
    if (known == nullptr) {
      continue;
    }
    if (known->trial_taken->exchange(true, std::memory_order_relaxed)) {
      for (const watched_part* each : taken) {
        each->trial_taken->store(false, std::memory_order_relaxed);
      }
      return trial::kUnavailable;
    }
    taken.push_back(known);
  }
  return taken.empty() ? trial::kNotNeeded : trial::kTaken;
}

bool suspect_view::MustReportAnswer(
    std::span<const std::uint64_t> parts) const {
  bool must_report = false;
  for (const std::uint64_t part : parts) {
    const watched_part* known = Find(part);
    if (known != nullptr &&
        !known->answer_seen->exchange(true, std::memory_order_relaxed)) {
      must_report = true;
    }
  }
  return must_report;
}

const watched_part* suspect_view::Find(std::uint64_t part) const {
  const auto found = std::ranges::lower_bound(parts_, part, std::ranges::less{},
                                              &watched_part::part);
  return found == parts_.end() || found->part != part ? nullptr : &*found;
}

const watched_part* suspect_view::FindBlocking(
    std::uint64_t part,
    std::span<const std::uint64_t> parts) const {
  const watched_part* known = Find(part);
  if (known == nullptr || !known->blocked) {
    return nullptr;
  }
  const bool has_all =
      std::ranges::all_of(known->alternatives, [parts](std::uint64_t each) {
        return std::ranges::find(parts, each) != parts.end();
      });
  return has_all ? known : nullptr;
}

void crash_suspects::RecordCrash(std::span<const std::uint64_t> parts,
                                 const crash_record& crash) {
  for (const std::uint64_t part : parts) {
    if (AddCrash(part, crash)) {
      suspects_[part].reports_left = kReportCopies;
    }
  }
}

void crash_suspects::RecordAnswer(std::span<const std::uint64_t> parts,
                                  time_point now) {
  for (const std::uint64_t part : parts) {
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
      continue;
    }
    suspect& known = found->second;
    // The others need to know if they are about to block the part, too.
    const bool urgent =
        known.blocked || CountCrashes(known.crashes) + 1 >= kBlockingCrashes;
    SetAnswered(part, known, now);
    known.answer_shared = urgent;
    if (urgent) {
      known.reports_left = kReportCopies;
    }
  }
}

void crash_suspects::RecordTrial(std::span<const std::uint64_t> parts,
                                 time_point now) {
  for (const std::uint64_t part : parts) {
    const auto found = suspects_.find(part);
    if (found != suspects_.end() && found->second.blocked) {
      SetTried(found->second, now);
      found->second.reports_left = kReportCopies;
    }
  }
}

void crash_suspects::Merge(const suspect_report& report, time_point now) {
  for (const suspect_report::crash& each : report.crashes) {
    if (AddCrash(report.part,
                 {each.upstream_hash, each.call_hash, now - each.age})) {
      Forward(suspects_[report.part]);
    }
  }
  const auto found = suspects_.find(report.part);
  if (found != suspects_.end() && report.tried_age &&
      now - *report.tried_age > found->second.tried_at + kTrialJitter) {
    SetTried(found->second, now - *report.tried_age);
    Forward(found->second);
  }
  if (found != suspects_.end() && LacksAnswer(report, found->second, now)) {
    found->second.reports_left = kReportCopies;
  }
  if (!report.answered_age || found == suspects_.end()) {
    return;
  }
  const time_point answered_at = now - *report.answered_age;
  // An answer that clears nothing here is not passed on: its time moves by the
  // delay of each report, so that it would go round for ever.
  if (answered_at > found->second.answered_at + kReportJitter &&
      SetAnswered(report.part, found->second, answered_at)) {
    Forward(found->second);
  }
  found->second.answer_shared = true;
}

void crash_suspects::Restore(const suspect_evidence& stored, time_point now) {
  for (const upstream_end& each : stored.ends) {
    NoteEnd(each.upstream_hash, now - each.age);
  }
  for (const suspect_report& report : stored.suspects) {
    for (const suspect_report::crash& each : report.crashes) {
      AddCrash(report.part,
               {each.upstream_hash, each.call_hash, now - each.age});
    }
    const auto found = suspects_.find(report.part);
    if (found == suspects_.end()) {
      continue;
    }
    suspect& known = found->second;
    if (report.blocked) {
      // The verdict may rest on ends that are no longer known.
      SetBlocked(report.part, known, !known.crashes.empty());
    }
    if (report.tried_age &&
        now - *report.tried_age > known.tried_at + kTrialJitter) {
      SetTried(known, now - *report.tried_age);
    }
  }
}

std::vector<suspect_report> crash_suspects::TakeReports(time_point now) {
  using entry = std::pair<const std::uint64_t, suspect>;
  std::vector<entry*> pending;
  for (entry& each : suspects_) {
    if (each.second.reports_left > 0) {
      pending.push_back(&each);
    }
  }
  // Parts that are refused, then answers, which clear a part, then the parts
  // that are closest to being refused.
  std::ranges::stable_sort(
      pending, std::ranges::greater{}, [](const entry* each) {
        const suspect& known = each->second;
        return std::tuple(known.blocked, known.crashes.empty(),
                          known.crashes.size());
      });
  std::vector<suspect_report> reports;
  for (const entry* each :
       std::span(pending).first(std::min(pending.size(), kSuspectsPerReport))) {
    reports.push_back(MakeReport(each->first, each->second, now));
  }
  reports.resize(CountForOneReport(reports));
  for (entry* each : std::span(pending).first(reports.size())) {
    --each->second.reports_left;
    each->second.answer_shared = true;
  }
  return reports;
}

std::vector<suspect_report> crash_suspects::BlockedReports(
    time_point now) const {
  std::vector<suspect_report> reports;
  for (const auto& [part, known] : suspects_) {
    if (known.blocked) {
      suspect_report report = MakeReport(part, known, now);
      // Instances pass these reports on to each other, so that a time derived
      // from an age would move forward by the delay of each of them.
      report.answered_age.reset();
      report.tried_age.reset();
      reports.push_back(std::move(report));
    }
  }
  reports.resize(CountForOneReport(reports));
  return reports;
}

suspect_evidence crash_suspects::Evidence(time_point now) const {
  suspect_evidence evidence;
  for (const auto& [part, known] : suspects_) {
    if (!known.crashes.empty()) {
      evidence.suspects.push_back(MakeReport(part, known, now));
      // An answer has removed the ends before it.
      evidence.suspects.back().answered_age.reset();
      evidence.suspects.back().blocked = known.blocked;
    }
  }
  for (const auto& [upstream, at] : ended_) {
    evidence.ends.push_back({upstream, now - at});
  }
  return evidence;
}

void crash_suspects::Sweep(time_point now) {
  const time_point oldest = now - kEvidenceLifetime;
  for (auto& [part, known] : suspects_) {
    const auto is_outdated = [&](const crash_record& each) {
      return each.at < oldest;
    };
    if (!known.blocked && std::erase_if(known.crashes, is_outdated) > 0) {
      NoteChange();
    }
  }
  std::erase_if(suspects_, [oldest](const auto& each) {
    return each.second.crashes.empty() && each.second.answered_at < oldest;
  });
  std::erase_if(ended_,
                [oldest](const auto& each) { return each.second < oldest; });
}

std::unique_ptr<const suspect_view> crash_suspects::TakeView(std::size_t rank) {
  if (blocked() > 0 && rank != viewed_rank_) {
    changed_ = true;
  }
  if (!std::exchange(changed_, false)) {
    return nullptr;
  }
  viewed_rank_ = rank;
  std::vector<watched_part> parts;
  for (const auto& [part, known] : suspects_) {
    if (!known.crashes.empty()) {
      const time_point trial_at =
          TrialTime(known) + kTrialStagger * static_cast<std::int64_t>(rank);
      parts.push_back({part, known.blocked, Alternatives(part, known),
                       deadline(trial_at), known.trial_taken,
                       known.answer_seen});
    }
  }
  return std::make_unique<const suspect_view>(std::move(parts));
}

std::vector<crash_suspects::verdict> crash_suspects::TakeVerdicts() {
  return std::exchange(verdicts_, {});
}

bool crash_suspects::NeedsRounds() const {
  return changed_ || std::ranges::any_of(suspects_, [](const auto& each) {
           const suspect& known = each.second;
           return known.blocked || known.reports_left > 0;
         });
}

std::size_t crash_suspects::blocked() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      suspects_, [](const auto& each) { return each.second.blocked; }));
}

bool crash_suspects::AddCrash(std::uint64_t part, crash_record crash) {
  crash.at = NoteEnd(crash.upstream_hash, crash.at);
  if (!suspects_.contains(part) && suspects_.size() >= kMaxSuspects) {
    EvictOldest();
  }
  suspect& known = suspects_[part];
  const bool is_known =
      std::ranges::any_of(known.crashes, [&](const crash_record& each) {
        return each.upstream_hash == crash.upstream_hash &&
               each.call_hash == crash.call_hash;
      });
  if (is_known || crash.at <= known.answered_at) {
    return false;
  }
  known.crashes.insert(
      std::ranges::upper_bound(known.crashes, crash.at, std::ranges::less{},
                               &crash_record::at),
      crash);
  if (known.crashes.size() > kCrashesPerSuspect) {
    // The first crashes tell since when, and beside which other parts, the part
    // has been crashing upstreams.
    known.crashes.erase(known.crashes.begin() + kBlockingCrashes);
  }
  // Answers from now on matter again.
  known.answer_seen = std::make_shared<std::atomic<bool>>(false);
  if (!known.answer_shared) {
    // Another instance may count this crash together with those before the
    // answer.
    known.reports_left = kReportCopies;
  }
  NoteChange();
  UpdateVerdict(part, known);
  return true;
}

time_point crash_suspects::NoteEnd(std::uint64_t upstream_hash, time_point at) {
  if (ended_.size() >= kMaxEnds && !ended_.contains(upstream_hash)) {
    ended_.erase(
        std::ranges::min_element(ended_, std::ranges::less{},
                                 [](const auto& each) { return each.second; }));
  }
  // Each report that passed on a crash has added its delay to the time.
  time_point& ended_at = ended_.try_emplace(upstream_hash, at).first->second;
  ended_at = std::min(ended_at, at);
  return ended_at;
}

bool crash_suspects::SetAnswered(std::uint64_t part,
                                 suspect& known,
                                 time_point at) {
  known.answered_at = std::max(known.answered_at, at);
  const std::size_t cleared =
      std::erase_if(known.crashes, [&known](const crash_record& each) {
        return each.at <= known.answered_at;
      });
  if (cleared > 0) {
    NoteChange();
  }
  UpdateVerdict(part, known);
  return cleared > 0;
}

void crash_suspects::SetTried(suspect& known, time_point at) {
  known.tried_at = at;
  known.trial_taken = std::make_shared<std::atomic<bool>>(false);
  NoteChange();
}

void crash_suspects::UpdateVerdict(std::uint64_t part, suspect& known) {
  const std::size_t crashes = CountCrashes(known.crashes);
  const std::size_t calls = CountCalls(known.crashes);
  // Once blocked, only an answer unblocks it: old crashes are dropped.
  const bool blocked =
      !known.crashes.empty() &&
      (known.blocked || (crashes >= kBlockingCrashes &&
                         calls >= kBlockingCalls && ExplainsCrashes(known)));
  SetBlocked(part, known, blocked);
}

void crash_suspects::SetBlocked(std::uint64_t part,
                                suspect& known,
                                bool blocked) {
  if (blocked != known.blocked) {
    known.blocked = blocked;
    verdicts_.push_back({part, blocked, CountCrashes(known.crashes),
                         CountCalls(known.crashes)});
    NoteChange();
  }
}

bool crash_suspects::ExplainsCrashes(const suspect& known) const {
  const std::vector<time_point> counted = SuccessiveCrashes(known.crashes);
  const time_point since =
      counted[counted.size() - kBlockingCrashes] - kCoincidence;
  std::set<std::uint64_t> under_part;
  for (const crash_record& each : known.crashes) {
    if (each.at >= since) {
      under_part.insert(each.upstream_hash);
    }
  }
  const auto all = static_cast<std::size_t>(std::ranges::count_if(
      ended_, [since](const auto& each) { return each.second >= since; }));
  return under_part.size() * kMinShareDivisor >= all;
}

bool crash_suspects::LacksAnswer(const suspect_report& report,
                                 const suspect& known,
                                 time_point now) {
  const auto outdated = static_cast<std::size_t>(std::ranges::count_if(
      report.crashes, [&](const suspect_report::crash& each) {
        return now - each.age <= known.answered_at;
      }));
  return outdated + 1 >= kBlockingCrashes;
}

std::vector<std::uint64_t> crash_suspects::Alternatives(
    std::uint64_t part,
    const suspect& known) const {
  std::vector<std::uint64_t> alternatives;
  for (const auto& [other, each] : suspects_) {
    if (other == part || !known.blocked || !each.blocked) {
      continue;
    }
    const bool always_present = std::ranges::all_of(
        known.crashes, [&each = each](const crash_record& crash) {
          return std::ranges::find(each.crashes, crash.upstream_hash,
                                   &crash_record::upstream_hash) !=
                 each.crashes.end();
        });
    if (always_present) {
      alternatives.push_back(other);
    }
  }
  return alternatives;
}

void crash_suspects::EvictOldest() {
  const auto oldest = std::ranges::min_element(
      suspects_, std::ranges::less{}, [](const auto& each) {
        const suspect& known = each.second;
        const time_point last =
            known.crashes.empty() ? time_point::min() : known.crashes.back().at;
        return std::pair(known.blocked, last);
      });
  suspects_.erase(oldest);
  NoteChange();
}

suspect_report crash_suspects::MakeReport(std::uint64_t part,
                                          const suspect& known,
                                          time_point now) {
  suspect_report report;
  report.part = part;
  if (known.answered_at != time_point::min()) {
    report.answered_age = now - known.answered_at;
  }
  if (known.tried_at != time_point::min()) {
    report.tried_age = now - known.tried_at;
  }
  for (const crash_record& each : known.crashes) {
    report.crashes.push_back(
        {each.upstream_hash, each.call_hash, now - each.at});
  }
  return report;
}

time_point crash_suspects::TrialTime(const suspect& known) {
  const time_point last = known.crashes.back().at;
  const duration wait = std::clamp((last - known.crashes.front().at) * 2,
                                   kMinTrialDelay, kMaxTrialDelay);
  return std::max(last + wait, known.tried_at + kMinTrialDelay);
}

}  // namespace anvilloom
