#include "links/crash_suspects.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <set>
#include <tuple>
#include <utility>

#include "common/hash.h"

namespace anvilloom {

namespace {

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

std::size_t CountCalls(std::span<const crash_record> crashes) {
  std::set<std::uint64_t> calls;
  for (const crash_record& each : crashes) {
    calls.insert(each.call_hash);
  }
  return calls.size();
}

// Adds a crash in order. Returns false if it is known.
bool InsertCrash(std::vector<crash_record>& crashes,
                 const crash_record& crash) {
  const bool is_known =
      std::ranges::any_of(crashes, [&](const crash_record& each) {
        return each.upstream_hash == crash.upstream_hash &&
               each.call_hash == crash.call_hash;
      });
  if (is_known) {
    return false;
  }
  crashes.insert(std::ranges::upper_bound(
                     crashes, crash.at, std::ranges::less{}, &crash_record::at),
                 crash);
  if (crashes.size() > kCrashesPerSuspect) {
    // The first crashes tell since when, and beside which other parts, the part
    // has been crashing upstreams.
    crashes.erase(crashes.begin() + crash_suspects::kBlockingCrashes);
  }
  return true;
}

// Forgets the crashes up to `last`. Returns whether there were any.
bool EraseCrashes(std::vector<crash_record>& crashes, time_point last) {
  return std::erase_if(crashes, [last](const crash_record& each) {
           return each.at <= last;
         }) > 0;
}

// Whether upstreams have been ending for longer than calls take to be answered.
// Many parts that crash upstreams by turns explain few of the ends each.
bool IsLasting(std::span<const crash_record> crashes) {
  const std::vector<time_point> counted = SuccessiveCrashes(crashes);
  return counted.size() >= crash_suspects::kLastingCrashes &&
         counted.back() - counted.front() >= crash_suspects::kLastingTime;
}

// Returns the upstreams of crashes in the order of their hashes.
std::vector<std::uint64_t> UpstreamsOf(std::span<const crash_record> crashes) {
  std::set<std::uint64_t> upstreams;
  for (const crash_record& each : crashes) {
    upstreams.insert(each.upstream_hash);
  }
  return {upstreams.begin(), upstreams.end()};
}

}  // namespace

std::vector<std::uint64_t> SuspectKeys(std::string_view service,
                                       const prompt_shape& prompt) {
  const std::uint64_t service_hash = Hash64(service);
  std::vector<std::uint64_t> keys;
  keys.reserve(prompt.Shared().size());
  for (const prompt_prefix& each : prompt.Shared()) {
    keys.push_back(CombineHash(service_hash, each.part));
  }
  return keys;
}

class crash_suspects::regrouping {
 public:
  explicit regrouping(crash_suspects& suspects) : suspects_(suspects) {}
  regrouping(const regrouping&) = delete;
  regrouping& operator=(const regrouping&) = delete;

  // Reports the verdicts that have changed.
  ~regrouping() {
    for (const auto& [before, each] : changes_) {
      const bool was_blocked = before != nullptr && before->blocked;
      const bool is_blocked = each.after != nullptr && each.after->blocked;
      if (each.parts > 0 && was_blocked != is_blocked) {
        suspects_.verdicts_.push_back({each.part, each.parts, is_blocked,
                                       is_blocked ? each.after->ended : 0,
                                       is_blocked ? each.after->calls : 0});
      }
    }
  }

  // Gives a part the history that `change` makes of its own, and returns true,
  // unless `change` returns false. `change` is called once for all parts with
  // the same history.
  template <std::predicate<history&> Change>
  bool Apply(std::uint64_t part, suspect& known, Change change) {
    const auto [found, first] = changes_.try_emplace(known.ends);
    outcome& result = found->second;
    if (first) {
      result = Make(known.ends, part, change);
    }
    if (result.changed) {
      ++result.parts;
      known.ends = result.after;
    }
    return result.changed;
  }

 private:
  struct outcome {
    bool changed = false;
    // Null if no crashes are left.
    std::shared_ptr<history> after;
    // The first part with this history, and the number of such parts.
    std::uint64_t part = 0;
    std::size_t parts = 0;
  };

  template <std::predicate<history&> Change>
  outcome Make(const std::shared_ptr<history>& before,
               std::uint64_t part,
               Change change) {
    auto after = before == nullptr ? std::make_shared<history>()
                                   : std::make_shared<history>(*before);
    if (!change(*after)) {
      return {};
    }
    // Parts that no longer share a history are tried one by one.
    after->trial_taken = std::make_shared<std::atomic<bool>>(false);
    suspects_.UpdateVerdict(*after);
    suspects_.NoteChange();
    if (after->crashes.empty()) {
      after.reset();
    }
    return {true, std::move(after), part, 0};
  }

  crash_suspects& suspects_;
  // Holds the earlier histories, so that none is mistaken for a new one.
  std::map<std::shared_ptr<history>, outcome> changes_;
};

void crash_suspects::RecordCrash(std::span<const std::uint64_t> parts,
                                 const crash_record& crash) {
  // The later parts of a prompt are shared by fewer calls, so that answers
  // clear fewer of them: they are reported first.
  const std::vector<std::uint64_t> reversed(parts.rbegin(), parts.rend());
  AddCrash(reversed, crash, kReportCopies);
}

void crash_suspects::RecordAnswer(std::span<const std::uint64_t> parts,
                                  time_point now) {
  regrouping changes(*this);
  for (const std::uint64_t part : parts) {
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
      continue;
    }
    suspect& known = found->second;
    // The others need to know if they are about to block the part, too.
    const bool urgent =
        known.blocked() || known.Ended() + 1 >= kBlockingCrashes;
    SetAnswered(part, known, now, changes);
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
    if (found == suspects_.end() || !found->second.blocked() ||
        found->second.ends->tried_at == now) {
      continue;
    }
    SetTried(*found->second.ends, now);
    // One part of a group is enough to make others wait.
    found->second.reports_left = kReportCopies;
  }
}

void crash_suspects::Merge(const suspect_report& report, time_point now) {
  for (const suspect_report::crash& each : report.crashes) {
    AddCrash(report.parts, {each.upstream_hash, each.call_hash, now - each.age},
             kForwardedCopies);
  }
  regrouping changes(*this);
  for (const std::uint64_t part : report.parts) {
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
      continue;
    }
    suspect& known = found->second;
    if (TakeTrialTime(report, known, now)) {
      Forward(known);
    }
    if (LacksAnswer(report, known, now)) {
      known.reports_left = kReportCopies;
    }
    if (!report.answered_age) {
      continue;
    }
    const time_point answered_at = now - *report.answered_age;
    // An answer that clears nothing here is not passed on: its time moves by
    // the delay of each report, so that it would go round for ever.
    if (answered_at > known.answered_at + kReportJitter &&
        SetAnswered(part, known, answered_at, changes)) {
      Forward(known);
    }
    known.answer_shared = true;
  }
}

void crash_suspects::Restore(const suspect_evidence& stored, time_point now) {
  for (const upstream_end& each : stored.ends) {
    NoteEnd(each.upstream_hash, now - each.age);
  }
  for (const suspect_report& report : stored.suspects) {
    for (const suspect_report::crash& each : report.crashes) {
      AddCrash(report.parts,
               {each.upstream_hash, each.call_hash, now - each.age}, 0);
    }
    regrouping changes(*this);
    for (const std::uint64_t part : report.parts) {
      const auto found = suspects_.find(part);
      if (found == suspects_.end() || found->second.ends == nullptr) {
        continue;
      }
      if (report.blocked) {
        // The verdict may rest on ends that are no longer known.
        changes.Apply(part, found->second, [](history& ends) {
          return !std::exchange(ends.blocked, true);
        });
      }
      TakeTrialTime(report, found->second, now);
    }
  }
}

std::vector<suspect_report> crash_suspects::TakeReports(time_point now) {
  std::vector<entry*> pending;
  for (entry& each : suspects_) {
    if (each.second.reports_left > 0) {
      pending.push_back(&each);
    }
  }
  // Parts that are refused, then answers, which clear a part, then the parts
  // that are closest to being refused; and what has not been told at all before
  // what may have been lost.
  const auto last = pending.begin() + static_cast<std::ptrdiff_t>(std::min(
                                          pending.size(), kPartsPerReport));
  std::ranges::partial_sort(
      pending, last, std::ranges::greater{}, [](const entry* each) {
        const suspect& known = each->second;
        return std::tuple(known.blocked(), known.ends == nullptr, known.Ended(),
                          known.reports_left, ~known.order);
      });
  pending.erase(last, pending.end());
  suspect_message message = MakeMessage<entry>(pending, now);
  for (entry* each : std::span(pending).first(message.entries)) {
    --each->second.reports_left;
    each->second.answer_shared = true;
  }
  return std::move(message.reports);
}

std::vector<suspect_report> crash_suspects::BlockedReports(
    time_point now) const {
  std::vector<const entry*> blocked;
  for (const entry& each : suspects_) {
    if (each.second.blocked()) {
      blocked.push_back(&each);
    }
  }
  std::ranges::sort(blocked, std::ranges::less{},
                    [](const entry* each) { return each->second.order; });
  std::vector<suspect_report> reports =
      MakeMessage<const entry>(blocked, now).reports;
  for (suspect_report& each : reports) {
    // Instances pass these reports on to each other, so that a time derived
    // from an age would move forward by the delay of each of them.
    each.answered_age.reset();
    each.tried_age.reset();
  }
  return reports;
}

suspect_evidence crash_suspects::Evidence(time_point now) const {
  std::vector<const entry*> suspected;
  for (const entry& each : suspects_) {
    if (each.second.ends != nullptr) {
      suspected.push_back(&each);
    }
  }
  std::ranges::sort(suspected, std::ranges::greater{}, [](const entry* each) {
    return std::tuple(each->second.blocked(), each->second.Ended(),
                      ~each->second.order);
  });
  suspect_evidence evidence;
  std::map<const history*, std::size_t> indices;
  std::size_t crashes = 0;
  for (const entry* each : std::span(suspected).first(
           std::min(suspected.size(), kMaxStoredParts))) {
    const auto& [part, known] = *each;
    const auto [found, first] =
        indices.try_emplace(known.ends.get(), evidence.suspects.size());
    if (!first) {
      evidence.suspects[found->second].parts.push_back(part);
      continue;
    }
    crashes += known.ends->crashes.size();
    if (crashes > kMaxStoredCrashes) {
      break;
    }
    evidence.suspects.push_back(MakeReport(part, known, now));
    // An answer has removed the ends before it.
    evidence.suspects.back().answered_age.reset();
    evidence.suspects.back().blocked = known.blocked();
  }
  for (const auto& [upstream, at] : ended_) {
    evidence.ends.push_back({upstream, now - at});
  }
  std::ranges::sort(evidence.ends, std::ranges::less{}, &upstream_end::age);
  evidence.ends.resize(std::min(evidence.ends.size(), kMaxStoredEnds));
  return evidence;
}

void crash_suspects::Sweep(time_point now) {
  const time_point oldest = now - kEvidenceLifetime;
  {
    regrouping changes(*this);
    for (auto& [part, known] : suspects_) {
      if (known.ends != nullptr && !known.blocked() &&
          known.ends->crashes.front().at <= oldest) {
        changes.Apply(part, known, [oldest](history& ends) {
          return EraseCrashes(ends.crashes, oldest);
        });
      }
    }
  }
  std::erase_if(suspects_, [oldest](const auto& each) {
    return each.second.ends == nullptr && each.second.answered_at <= oldest;
  });
  std::erase_if(ended_,
                [oldest](const auto& each) { return each.second <= oldest; });
}

std::unique_ptr<const suspect_view> crash_suspects::TakeView(std::size_t rank) {
  if (rank != viewed_rank_ && blocked() > 0) {
    changed_ = true;
  }
  if (!std::exchange(changed_, false)) {
    return nullptr;
  }
  viewed_rank_ = rank;
  std::vector<std::uint64_t> suspected;
  for (const auto& [part, known] : suspects_) {
    if (known.ends != nullptr) {
      suspected.push_back(part);
    }
  }
  return std::make_unique<const suspect_view>(suspected, BlockedGroups(rank));
}

std::vector<crash_suspects::verdict> crash_suspects::TakeVerdicts() {
  return std::exchange(verdicts_, {});
}

bool crash_suspects::NeedsRounds() const {
  return changed_ || std::ranges::any_of(suspects_, [](const auto& each) {
           return each.second.blocked() || each.second.reports_left > 0;
         });
}

std::size_t crash_suspects::blocked() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      suspects_, [](const auto& each) { return each.second.blocked(); }));
}

void crash_suspects::AddCrash(std::span<const std::uint64_t> parts,
                              crash_record crash,
                              int copies) {
  crash.at = NoteEnd(crash.upstream_hash, crash.at);
  {
    regrouping changes(*this);
    for (const std::uint64_t part : parts) {
      suspect& known = suspects_[part];
      if (crash.at <= known.answered_at ||
          !changes.Apply(part, known, [&crash](history& ends) {
            return InsertCrash(ends.crashes, crash);
          })) {
        continue;
      }
      known.order = next_order_++;
      // Another instance may count this crash together with those before an
      // answer that it has not been told of.
      known.reports_left = std::max(
          known.reports_left, known.answer_shared ? copies : kReportCopies);
    }
  }
  Evict();
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
                                 time_point at,
                                 regrouping& changes) {
  known.answered_at = std::max(known.answered_at, at);
  return known.ends != nullptr &&
         changes.Apply(part, known, [at](history& ends) {
           return EraseCrashes(ends.crashes, at);
         });
}

void crash_suspects::SetTried(history& ends, time_point at) {
  ends.tried_at = at;
  ends.trial_taken = std::make_shared<std::atomic<bool>>(false);
  NoteChange();
}

bool crash_suspects::TakeTrialTime(const suspect_report& report,
                                   suspect& known,
                                   time_point now) {
  if (!report.tried_age || known.ends == nullptr ||
      now - *report.tried_age <= known.ends->tried_at + kTrialJitter) {
    return false;
  }
  SetTried(*known.ends, now - *report.tried_age);
  return true;
}

void crash_suspects::UpdateVerdict(history& ends) const {
  ends.ended = SuccessiveCrashes(ends.crashes).size();
  ends.calls = CountCalls(ends.crashes);
  // Once blocked, only an answer unblocks it: old crashes are dropped.
  ends.blocked =
      !ends.crashes.empty() &&
      (ends.blocked ||
       (ends.ended >= kBlockingCrashes && ends.calls >= kBlockingCalls &&
        (ExplainsCrashes(ends.crashes) || IsLasting(ends.crashes))));
}

bool crash_suspects::ExplainsCrashes(
    std::span<const crash_record> crashes) const {
  const std::vector<time_point> counted = SuccessiveCrashes(crashes);
  const time_point since =
      counted[counted.size() - kBlockingCrashes] - kCoincidence;
  std::set<std::uint64_t> under_part;
  for (const crash_record& each : crashes) {
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

std::vector<blocked_group> crash_suspects::BlockedGroups(std::size_t rank) {
  // The groups by the upstreams that ended under them, and that of each
  // history. Reports of a call with many parts come one by one, so that several
  // histories may have the same upstreams.
  std::map<std::vector<std::uint64_t>, blocked_group> by_upstreams;
  std::map<const history*, blocked_group*> by_history;
  for (auto& [part, known] : suspects_) {
    if (!known.blocked()) {
      continue;
    }
    history& ends = *known.ends;
    const auto [found, first] = by_history.try_emplace(&ends);
    if (first) {
      blocked_group& group = by_upstreams[UpstreamsOf(ends.crashes)];
      const deadline trial_at(TrialTime(ends) +
                              kTrialStagger * static_cast<std::int64_t>(rank));
      if (group.trial_taken == nullptr) {
        group.trial_taken = ends.trial_taken;
        group.trial_at = trial_at;
      }
      ends.trial_taken = group.trial_taken;
      group.trial_at = deadline(std::max(group.trial_at.at(), trial_at.at()));
      found->second = &group;
    }
    found->second->parts.push_back(part);
  }
  std::vector<blocked_group> groups;
  std::vector<std::span<const std::uint64_t>> upstreams;
  for (auto& [hashes, group] : by_upstreams) {
    groups.push_back(std::move(group));
    upstreams.emplace_back(hashes);
  }
  for (std::size_t i = 0; i < groups.size(); ++i) {
    for (std::size_t other = 0; other < groups.size(); ++other) {
      if (other != i && std::ranges::includes(upstreams[other], upstreams[i])) {
        groups[i].alternatives.push_back(other);
      }
    }
  }
  return groups;
}

void crash_suspects::Evict() {
  if (suspects_.size() <= kMaxSuspects) {
    return;
  }
  std::map<const history*, std::size_t> parts;
  for (const auto& [part, known] : suspects_) {
    ++parts[known.ends.get()];
  }
  using candidate = std::pair<const history*, std::size_t>;
  std::vector<candidate> candidates(parts.begin(), parts.end());
  std::ranges::sort(candidates, std::ranges::less{}, [](const candidate& each) {
    const auto [ends, count] = each;
    return ends == nullptr
               ? std::tuple(false, std::size_t{0}, ~count, time_point::min())
               : std::tuple(ends->blocked, ends->ended, ~count,
                            ends->crashes.back().at);
  });
  // Makes more room than is needed now, since the search takes long.
  constexpr std::size_t kKept = kMaxSuspects - kMaxSuspects / 8;
  std::set<const history*> evicted;
  std::size_t kept = suspects_.size();
  for (const auto& [ends, count] : candidates) {
    if (kept <= kKept) {
      break;
    }
    evicted.insert(ends);
    kept -= count;
  }
  std::erase_if(suspects_, [&evicted](const auto& each) {
    return evicted.contains(each.second.ends.get());
  });
  NoteChange();
}

template <typename Entry>
crash_suspects::suspect_message crash_suspects::MakeMessage(
    std::span<Entry* const> entries,
    time_point now) {
  suspect_message_builder builder;
  // The report of the parts with the same history and answer.
  std::map<std::pair<const history*, time_point>, std::size_t> indices;
  std::size_t count = 0;
  for (const auto* each : entries) {
    const auto& [part, known] = *each;
    const auto found =
        indices.find(std::pair(known.ends.get(), known.answered_at));
    if (found != indices.end()) {
      if (!builder.FitsPart()) {
        break;
      }
      builder.AddPart(found->second, part);
    } else {
      if (!builder.Fits(known.Crashes())) {
        break;
      }
      indices.emplace(std::pair(known.ends.get(), known.answered_at),
                      builder.Add(MakeReport(part, known, now)));
    }
    ++count;
  }
  return {std::move(builder).Build(), count};
}

suspect_report crash_suspects::MakeReport(std::uint64_t part,
                                          const suspect& known,
                                          time_point now) {
  suspect_report report;
  report.parts.push_back(part);
  if (known.answered_at != time_point::min()) {
    report.answered_age = now - known.answered_at;
  }
  if (known.ends == nullptr) {
    return report;
  }
  if (known.ends->tried_at != time_point::min()) {
    report.tried_age = now - known.ends->tried_at;
  }
  for (const crash_record& each : known.ends->crashes) {
    report.crashes.push_back(
        {each.upstream_hash, each.call_hash, now - each.at});
  }
  return report;
}

time_point crash_suspects::TrialTime(const history& ends) {
  const time_point last = ends.crashes.back().at;
  const duration wait = std::clamp((last - ends.crashes.front().at) * 2,
                                   kMinTrialDelay, kMaxTrialDelay);
  return std::max(last + wait, ends.tried_at + kMinTrialDelay);
}

}  // namespace anvilloom
