#include "instances/rollout_table.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"
#include "common/random.h"
#include "instances/store_era.h"

namespace anvilloom {

namespace {

// Start of a record of an order that no holder of the duties has stored yet.
// Any record that is stored supersedes it.
constexpr std::uint64_t kNotBegun = 0;

// What an order leaves allowed when another one takes its place. One that was
// interrupted has allowed nothing new, also if calls had moved already.
version_rule RuleAfter(rollout_record ended) {
  if (!IsFinal(ended.step)) {
    ended.step = rollout_step::kReverted;
  }
  return RuleOf(ended);
}

}  // namespace

std::string rollout_table::Source(std::string_view name,
                                  std::uint64_t epoch) const {
  return std::string(name) + '/' + std::to_string(epoch);
}

rollout_table::known_rollout& rollout_table::Begin(const rollout_record& record,
                                                   time_point now) {
  known_.erase(record.order.service);
  known_rollout& known =
      known_.emplace(record.order.service, known_rollout()).first->second;
  known.record = record;
  known.step_seen_at = now;
  split_mix random(CombineHash(seed_, record.started_ms));
  known.work = std::make_shared<rollout_work>(bound_, random.NextUnit());
  known.members = others_;
  return known;
}

rollout_table::known_rollout& rollout_table::Adopt(const rollout_record& record,
                                                   time_point now) {
  const auto found = known_.find(record.order.service);
  if (found == known_.end() ||
      found->second.record.started_ms != record.started_ms) {
    Begin(record, now);
  }
  known_rollout& known = known_.find(record.order.service)->second;
  if (known.record.step != record.step) {
    known.step_seen_at = now;
  }
  known.record = record;
  known.begun = record.started_ms != kNotBegun;
  known.is_read = false;
  return known;
}

void rollout_table::TakeStored(std::span<const stored_rollout> stored,
                               time_point read_at) {
  for (auto& entry : known_) {
    known_rollout& known = entry.second;
    known.deleted =
        std::ranges::none_of(stored, [&known](const stored_rollout& each) {
          return each.order.service == known.record.order.service;
        });
    if (known.deleted) {
      MarkBad(known, "deleted", read_at);
    }
  }
  for (const stored_rollout& each : stored) {
    const bool begun = each.status && each.status->order.to == each.order.to;
    rollout_record record;
    if (begun) {
      record = *each.status;
    } else {
      record.started_ms = kNotBegun;
      record.before = each.status ? RuleAfter(*each.status) : version_rule{};
    }
    record.order = each.order;
    const auto found = known_.find(each.order.service);
    const bool is_known = found != known_.end();
    // The operator has ordered the same version again after deleting the order.
    // If it was read in an earlier era of the store, or never, the status may
    // also be missing in the copy that the store came back from.
    const bool repeated =
        is_known && !each.status && IsFinal(found->second.record.step) &&
        EraOf(each.revision) == EraOf(found->second.revision) &&
        each.revision > found->second.revision;
    const bool changed =
        is_known && !begun && found->second.record.order.to != each.order.to;
    if (repeated || changed) {
      record.before = RuleAfter(found->second.record);
    }
    if (!is_known || repeated || changed ||
        (begun && Supersedes(record, found->second.record))) {
      Adopt(record, read_at).is_read = true;
    }
    known_rollout& known = known_.find(each.order.service)->second;
    known.is_behind =
        known.begun && (!begun || Supersedes(known.record, record));
    known.revision = each.revision;
    if (!known.is_behind) {
      Confirm(known, read_at);
    }
  }
  ExtendOld(read_at);
  Rebuild();
}

void rollout_table::Settle(settled_versions versions) {
  if (versions != settled_) {
    settled_ = std::move(versions);
    Rebuild();
  }
}

bool rollout_table::Take(std::string_view sender,
                         std::uint64_t sender_epoch,
                         const rollout_report& report,
                         time_point now) {
  NoteActive(now);
  const rollout_record& told = report.record;
  auto found = known_.find(told.order.service);
  bool news = false;
  if (told.started_ms != kNotBegun &&
      (found == known_.end() || Supersedes(told, found->second.record))) {
    // An order that was read without this status, which the store may have
    // lost. If it has not, the write fails.
    const std::uint64_t behind_at =
        found != known_.end() && found->second.record.order == told.order
            ? found->second.revision
            : 0;
    Adopt(told, now);
    found = known_.find(told.order.service);
    if (behind_at != 0) {
      found->second.revision = behind_at;
      found->second.is_behind = true;
    }
    news = true;
  }
  if (found == known_.end() ||
      found->second.record.started_ms != told.started_ms) {
    return false;
  }
  known_rollout& known = found->second;
  known.members.Take(sender, sender_epoch, told.started_ms,
                     report.is_bad ? rollout_step::kObserving : told.step,
                     report.old_running, now);
  if (!report.evidence.empty()) {
    known.tally.Take(Source(sender, sender_epoch), report.evidence);
  }
  if (report.is_bad && !known.is_bad) {
    MarkBad(known, "reported", now);
    news = true;
  }
  if (report.confirmed_age && told == known.record && !HasJustResumed(now)) {
    const time_point at = now - *report.confirmed_age;
    const bool fresher =
        !known.confirmed_at ||
        *known.confirmed_at + timing_.confirmation_lifetime() / 8 < at;
    Confirm(known, at);
    news = news || fresher;
  }
  if (news) {
    ExtendOld(now);
    Rebuild();
  }
  return news;
}

void rollout_table::ExpectMember(std::string_view name,
                                 std::uint64_t epoch,
                                 bool heard,
                                 time_point now) {
  if (name == own_name_) {
    return;
  }
  NoteActive(now);
  const bool fresh = heard && !HasJustResumed(now);
  others_.Expect(name, epoch, fresh, now);
  for (auto& [service, known] : known_) {
    known.members.Expect(name, epoch, fresh, now);
  }
}

void rollout_table::NoteActive(time_point now) {
  if (active_at_ != time_point::min() &&
      now - active_at_ > timing_.delivery()) {
    resumed_at_ = now;
  }
  active_at_ = now;
}

void rollout_table::Confirm(known_rollout& known, time_point at) const {
  if (known.confirmed_at && at <= *known.confirmed_at) {
    return;
  }
  known.confirmed_at = at;
  if (known.begun && !AwaitsStatus(known, at)) {
    known.work->TryUntil(at + timing_.confirmation_lifetime());
  }
}

void rollout_table::MarkBad(known_rollout& known,
                            std::string_view cause,
                            time_point now) {
  if (known.is_bad || IsFinal(known.record.step)) {
    return;
  }
  known.is_bad = true;
  known.bad_since = now;
  known.cause = cause;
  known.work->Stop();
}

void rollout_table::Judge(time_point now, std::uint64_t now_ms) {
  NoteActive(now);
  ExtendOld(now);
  bool changed = false;
  for (auto& [service, known] : known_) {
    if (IsFinal(known.record.step)) {
      continue;
    }
    const duration warm_up =
        std::min(known.record.order.time_limit / kWarmUpDivisor, kMaxWarmUp);
    const bool judge_delay =
        now_ms > known.record.started_ms +
                     static_cast<std::uint64_t>(warm_up.count() / 1000);
    const rollout_evidence own = known.work->counters.Snapshot();
    known.own.Update(own, judge_delay);
    known.tally.Take(own_name_, own);
    known.total.Update(known.tally.Total(), judge_delay);
    if (!known.is_bad && (known.own.is_bad() || known.total.is_bad())) {
      MarkBad(known,
              known.total.is_bad() ? known.total.cause() : known.own.cause(),
              now);
      changed = true;
    }
  }
  if (changed) {
    Rebuild();
  }
}

time_point rollout_table::InTouchUntil(time_point now) const {
  const time_point at = others_.HeardMostAt(now);
  return at == time_point::min()
             ? at
             : at + timing_.confirmation_lifetime() + report_interval_;
}

// An instance that neither knows the stored record nor hears most of the others
// may not have heard that the old version gets no calls any more. It stops
// sending calls there before the holder of the duties stops waiting for its
// word. Hearing most of them suffices, since without the store no step is
// taken, and those that are in touch with a holder pass its steps on.
void rollout_table::ExtendOld(time_point now) {
  others_.Forget(now);
  const time_point in_touch_until = InTouchUntil(now);
  for (auto& [service, known] : known_) {
    known.members.Forget(now);
    time_point until = time_point::max();
    if (!IsFinal(known.record.step)) {
      until = in_touch_until;
      if (known.confirmed_at) {
        until = std::max(until,
                         *known.confirmed_at + timing_.confirmation_lifetime());
      }
    }
    known.work->OldUntil(until);
  }
}

void rollout_table::ConfirmAsHolder(std::uint64_t fencing, time_point now) {
  if (fencing != fencing_) {
    fencing_ = fencing;
    holder_since_ = now;
  }
  for (auto& [service, known] : known_) {
    if (known.begun && !known.deleted && known.revision != 0) {
      Confirm(known, now);
    }
  }
}

rollout_situation rollout_table::SituationOf(const known_rollout& known,
                                             time_point now,
                                             std::uint64_t now_ms) const {
  const rollout_order& order = known.record.order;
  rollout_situation situation;
  situation.now_ms = now_ms;
  situation.is_bad = known.is_bad;
  situation.has_new = lookups_.has_new(order);
  situation.new_calls = known.total.new_calls();
  situation.new_failures = known.total.new_failures();
  situation.old_calls = known.total.old_calls();
  situation.hears_others =
      known.members.HearsOthers(timing_.silent_after() / 2, now);
  silence_bound bound;
  bound.closed_at = std::max(known.step_seen_at, holder_since_);
  bound.sends = timing_.silent_after() + report_interval_;
  bound.longest_call = lookups_.longest_call(order);
  bound.is_late = IsLate(known.record, now_ms);
  situation.old_unused =
      known.record.step == rollout_step::kMoved &&
      lookups_.old_calls(order) == 0 &&
      known.members.IsOldUnused(known.record.started_ms, bound, now);
  return situation;
}

bool rollout_table::AwaitsStatus(const known_rollout& known,
                                 time_point now) const {
  return known.is_read && EraOf(known.revision) != 0 && !known.deleted &&
         !IsFinal(known.record.step) &&
         now < std::max(known.step_seen_at, holder_since_) + timing_.delivery();
}

bool rollout_table::AwaitsStatus(time_point now) const {
  return std::ranges::any_of(known_, [&](const auto& entry) {
    return AwaitsStatus(entry.second, now);
  });
}

std::vector<rollout_table::write> rollout_table::DueWrites(
    time_point now,
    std::uint64_t now_ms) {
  std::vector<write> writes;
  for (auto& [service, known] : known_) {
    if (known.revision == 0 || known.deleted || AwaitsStatus(known, now)) {
      continue;
    }
    rollout_record next = known.record;
    if (!known.begun) {
      next.started_ms = now_ms;
      next.step_ms = now_ms;
      if (next.order.time_limit <= duration::zero()) {
        next.step = rollout_step::kReverted;
      }
      writes.push_back({next, known.revision});
      continue;
    }
    if (known.is_behind) {
      writes.push_back({next, known.revision});
      continue;
    }
    if (const auto step =
            NextRolloutStep(known.record, SituationOf(known, now, now_ms))) {
      next.step = *step;
      next.step_ms = now_ms;
      writes.push_back({next, known.revision});
    }
  }
  return writes;
}

void rollout_table::HandleStored(const rollout_record& record,
                                 std::uint64_t revision,
                                 time_point now) {
  known_rollout& known = Adopt(record, now);
  known.revision = revision;
  known.is_behind = false;
  Confirm(known, now);
  ExtendOld(now);
  Rebuild();
}

std::vector<rollout_report> rollout_table::Reports(time_point now,
                                                   bool evidence) const {
  std::vector<rollout_report> reports;
  for (const auto& [service, known] : known_) {
    if (!known.begun) {
      continue;
    }
    rollout_report& each = reports.emplace_back();
    each.record = known.record;
    if (known.confirmed_at && !known.deleted) {
      each.confirmed_age = now - *known.confirmed_at;
    }
    each.is_bad = known.is_bad;
    each.old_running = lookups_.old_calls(known.record.order);
    if (evidence && !IsFinal(known.record.step)) {
      each.evidence = known.work->counters.Snapshot();
    }
  }
  return reports;
}

bool rollout_table::HasUnfinished() const {
  return std::ranges::any_of(known_, [](const auto& entry) {
    return !IsFinal(entry.second.record.step) && !entry.second.deleted;
  });
}

bool rollout_table::IsUnconfirmedFor(duration age, time_point now) const {
  return std::ranges::any_of(known_, [&](const auto& entry) {
    const known_rollout& known = entry.second;
    return !IsFinal(known.record.step) && !known.deleted &&
           (!known.confirmed_at || *known.confirmed_at + age <= now);
  });
}

const rollout_record* rollout_table::Find(std::string_view service) const {
  const auto found = known_.find(service);
  return found == known_.end() ? nullptr : &found->second.record;
}

std::string_view rollout_table::CauseOf(std::string_view service) const {
  const auto found = known_.find(service);
  return found == known_.end() ? std::string_view{} : found->second.cause;
}

const rollout_verdict* rollout_table::VerdictOf(
    std::string_view service) const {
  const auto found = known_.find(service);
  return found == known_.end() ? nullptr : &found->second.total;
}

// A version that was found bad gets no calls from now on, also before that is
// stored. Once calls have moved, this instance may not return to the old
// version by its own verdict: it may have told the holder of the duties that it
// has left that version, which may be gone.
rollout_step rollout_table::EffectiveStep(const known_rollout& known) const {
  const rollout_step step = known.record.step;
  const bool ended =
      known.deleted || (known.is_bad && step == rollout_step::kObserving);
  return ended && !IsFinal(step) ? rollout_step::kReverted : step;
}

void rollout_table::Rebuild() {
  auto view = std::make_shared<rollout_view>();
  for (const auto& [service, known] : known_) {
    rollout_record effective = known.record;
    effective.step = EffectiveStep(known);
    auto each = std::make_shared<service_rollout>();
    each->step = effective.step;
    each->rule = RuleOf(effective);
    if (const auto settled = settled_.find(service);
        settled != settled_.end()) {
      each->rule.among = settled->second;
    }
    each->trial.only = known.record.order.to;
    each->work = known.work;
    if (known.is_bad && effective.step == rollout_step::kMoved) {
      each->refuse_from = known.bad_since + timing_.confirmation_lifetime();
    }
    view->emplace(service, std::move(each));
  }
  view_ = std::move(view);
  ++view_version_;
}

}  // namespace anvilloom
