#include "instances/store_gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "instances/store_era.h"

namespace anvilloom {

std::size_t store_gossip::Fanout(std::size_t members) {
  return 2 + static_cast<std::size_t>(std::ceil(std::log(
                 static_cast<double>(std::max<std::size_t>(members, 1)))));
}

void store_gossip::RecordWatch(std::uint64_t from,
                               std::uint64_t through,
                               std::span<const upstream_change> changes,
                               time_point now) {
  Record(changes, through, now);
  if (from <= through_) {
    AdvanceTo(through);
  }
  UpdateLag(now);
}

void store_gossip::RecordList(std::uint64_t through,
                              std::uint64_t read_until,
                              std::span<const upstream_change> changes,
                              time_point now) {
  EnterEra(through, now);
  // A list doesn't show the removal of an upstream that joined and left after
  // this view was confirmed. Others may have it, so they must not take the
  // changes known here for complete. An upstream lives longer than the apply
  // time.
  if (!confirmed_at_ || now - *confirmed_at_ > apply_time_) {
    log_.BeginAt(through);
  }
  Record(changes, read_until, now);
  AdvanceTo(through);
  UpdateLag(now);
}

void store_gossip::RecordChange(const upstream_change& change, time_point now) {
  Record({&change, 1}, change.version, now);
}

void store_gossip::RecordManifest(std::uint64_t version, time_point now) {
  manifest_version_ = std::max(manifest_version_, version);
  NoteNewest(version, 0, now);
}

void store_gossip::RecordRead(time_point asked_at, time_point now) {
  Confirm(asked_at);
  if (lags_since_ && claimed_at_ <= asked_at) {
    // What others were said to have is not in the store.
    newest_manifest_ = manifest_version_;
    newest_through_ = through_;
  }
  UpdateLag(now);
}

void store_gossip::RecordFailedRead(std::size_t members, time_point now) {
  const duration average = std::max(
      apply_time_ / 8, kProbeInterval * static_cast<std::int64_t>(members));
  // An exponential distribution, so that the attempts of all have a constant
  // rate also if their reads failed at the same time.
  const double unit = std::max(random_.NextUnit(), 0x1p-53);
  const duration drawn(static_cast<std::int64_t>(
      static_cast<double>(average.count()) * -std::log(unit)));
  retry_read_at_ = deadline::After(now, std::max(drawn, apply_time_ / 16));
}

store_gossip::next_action store_gossip::Take(
    const store_news& news,
    std::span<const upstream_change> new_changes,
    time_point now) {
  if (EraOf(news.through) < EraOf(through_)) {
    // The sender has not heard of the present era. Its manifest may still be
    // the newest one, since versions of the manifest don't depend on eras.
    NoteNewest(news.manifest_version, 0, now);
    return manifest_version_ < news.manifest_version ? next_action::kFetch
                                                     : next_action::kNone;
  }
  if (news.whole) {
    EnterEra(news.through, now);
    log_.BeginAt(news.through);
  }
  Record(new_changes, news.through, now);
  if (news.whole || news.from <= through_) {
    AdvanceTo(news.through);
  }
  NoteNewest(news.manifest_version, news.through, now);
  const bool lacks_some =
      manifest_version_ < news.manifest_version || through_ < news.through;
  if (lacks_some) {
    return next_action::kFetch;
  }
  if (!news.confirmed_age) {
    return next_action::kNone;
  }
  if (news.asked_at) {
    if (*news.asked_at > now) {
      // The boot clock has started anew since this address asked.
      return next_action::kNone;
    }
    Confirm(*news.asked_at - *news.confirmed_age);
    return next_action::kNone;
  }
  return MayAsk(now - *news.confirmed_age, now) ? next_action::kAsk
                                                : next_action::kNone;
}

bool store_gossip::MayAsk(time_point claimed, time_point now) {
  if (confirmed_at_ && claimed < *confirmed_at_ + confirm_interval() / 2) {
    return false;
  }
  if (more_questions_at_.Expired(now)) {
    more_questions_at_ = deadline::After(now, tell_interval());
    questions_left_ = kQuestions;
  }
  return questions_left_-- > 0;
}

void store_gossip::NoteManifest(std::uint64_t version, time_point now) {
  NoteNewest(version, 0, now);
}

void store_gossip::NoteNewest(std::uint64_t manifest_version,
                              std::uint64_t through,
                              time_point now) {
  if (manifest_version > newest_manifest_ || through > newest_through_) {
    newest_manifest_ = std::max(newest_manifest_, manifest_version);
    newest_through_ = std::max(newest_through_, through);
    claimed_at_ = now;
  }
  UpdateLag(now);
}

bool store_gossip::HasNews() const {
  const bool confirmed_anew =
      confirmed_at_ &&
      (!told_confirmed_at_ ||
       *confirmed_at_ >= *told_confirmed_at_ + confirm_interval() / 2);
  return untold_changes_ || manifest_version_ > told_manifest_ ||
         confirmed_anew;
}

std::optional<store_news> store_gossip::TakeNews(time_point now) {
  if (!HasNews() || !tell_at_.Expired(now)) {
    return std::nullopt;
  }
  log_.ForgetRemovals(now - kRemovalMemory);
  told_manifest_ = manifest_version_;
  untold_changes_ = false;
  told_confirmed_at_ = confirmed_at_;
  tell_at_ = deadline::After(now, tell_interval());
  // Instances that earlier news have missed find the changes since the last two
  // confirmations in these, and need not fetch them.
  upstream_log::extract latest =
      log_.Latest(now - confirm_interval() * 2, through_, kMaxChangeBytes);
  store_news news;
  news.manifest_version = manifest_version_;
  news.through = through_;
  news.from = std::min(latest.from, through_);
  news.changes = std::move(latest.changes);
  news.confirmed_age = ConfirmedAge(now);
  return news;
}

store_news store_gossip::NewsAfter(std::uint64_t after, time_point now) const {
  upstream_log::extract missing = log_.After(after, through_);
  store_news news;
  news.manifest_version = manifest_version_;
  news.through = through_;
  news.from = std::min(missing.from, through_);
  news.whole = missing.whole;
  news.changes = std::move(missing.changes);
  news.confirmed_age = ConfirmedAge(now);
  return news;
}

store_news store_gossip::AnswerTo(time_point asked_at, time_point now) const {
  store_news news;
  news.manifest_version = manifest_version_;
  news.through = through_;
  news.from = through_;
  news.confirmed_age = ConfirmedAge(now);
  news.asked_at = asked_at;
  return news;
}

deadline store_gossip::NextRead(const reader& self, time_point now) {
  if (!begun_at_) {
    begun_at_ = now;
  }
  const time_point confirmed_at = confirmed_at_.value_or(*begun_at_);
  if (!read_at_) {
    const duration spread = DrawDelay(apply_time_ / 4, self.members);
    read_at_ = deadline(confirmed_at + apply_time_ / 2 + spread);
    if (lags_since_) {
      read_at_ =
          read_at_->Earlier(deadline(*lags_since_ + apply_time_ / 8 + spread));
    }
  }
  deadline next = *read_at_;
  if (self.watches) {
    // The next watcher steps in when the confirmation is half as late again.
    const auto steps = static_cast<std::int64_t>(2 + self.position);
    next =
        next.Earlier(deadline(confirmed_at + confirm_interval() * steps / 2));
  }
  return next.Later(retry_read_at_);
}

deadline store_gossip::ManifestValidUntil() const {
  if (!confirmed_at_ || IsManifestOutdated()) {
    return deadline(time_point::min());
  }
  return deadline::After(*confirmed_at_, apply_time_ * 3 / 4);
}

void store_gossip::Record(std::span<const upstream_change> changes,
                          std::uint64_t through,
                          time_point now) {
  for (const upstream_change& change : changes) {
    log_.Record(change, through, now);
  }
  untold_changes_ = untold_changes_ || !changes.empty();
}

void store_gossip::AdvanceTo(std::uint64_t through) {
  if (through <= through_) {
    return;
  }
  // Changes beyond a gap have not been passed on yet.
  untold_changes_ = untold_changes_ || log_.HasAfter(through_);
  through_ = through;
}

void store_gossip::EnterEra(std::uint64_t version, time_point now) {
  if (through_ == 0 || EraOf(version) <= EraOf(through_)) {
    return;
  }
  confirmed_at_.reset();
  // The time of the next read counts from now, as after the start.
  begun_at_ = now;
  read_at_.reset();
}

void store_gossip::Confirm(time_point at) {
  if (!confirmed_at_ || at > *confirmed_at_) {
    confirmed_at_ = at;
    read_at_.reset();
    // The store answers again.
    retry_read_at_ = deadline(time_point::min());
  }
}

void store_gossip::UpdateLag(time_point now) {
  if (Lags() == lags_since_.has_value()) {
    return;
  }
  lags_since_ = Lags() ? std::optional(now) : std::nullopt;
  read_at_.reset();
}

std::optional<duration> store_gossip::ConfirmedAge(time_point now) const {
  return confirmed_at_ ? std::optional(now - *confirmed_at_) : std::nullopt;
}

duration store_gossip::DrawDelay(duration limit, std::size_t members) {
  // The delay of each instance is below x with probability
  // members^(x / limit - 1), so about one of all comes at once, and the others
  // hear of its read before they come.
  const double unit = std::max(random_.NextUnit(), 0x1p-53);
  const double scale =
      members > 1 ? std::log(unit) / std::log(static_cast<double>(members))
                  : -1.0;
  return duration(static_cast<std::int64_t>(static_cast<double>(limit.count()) *
                                            std::max(0.0, 1.0 + scale)));
}

}  // namespace anvilloom
