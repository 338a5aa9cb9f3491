#include "wire/report_codec.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "wire/announcement_check.h"
#include "wire/peer_report.pb.h"
#include "wire/rollout_report_codec.h"

namespace anvilloom {

namespace {

// Longest age in a report, about 49 days.
constexpr std::int64_t kMaxAgeMs = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxAgeUs = std::uint64_t{kMaxAgeMs} * 1000;
// Latest wall clock time in a report, in the year 2255. Offsets between clocks
// are computed from it, which must not overflow.
constexpr std::uint64_t kMaxWallUs = 9'000'000'000'000'000;

// Bounds of what is reported of an upstream that is paced, so that sums over
// all instances don't overflow.
constexpr std::uint32_t kMaxPacedAnswers = 0xff;
constexpr std::uint32_t kMaxPacedPermille = 0x7f'ffff;

void EncodeChange(const upstream_change& change, wire::Change& message) {
  const upstream_announcement& announced = change.announced;
  message.set_version(change.version);
  message.set_removed(change.removed);
  message.set_id(announced.id);
  message.set_born_ms(announced.born_ms);
  message.set_service(announced.service);
  message.set_address(announced.address);
  message.set_domain(announced.domain);
  message.set_slots(announced.slots);
  message.set_draining(announced.draining);
  message.set_reclaimable(announced.reclaimable);
}

upstream_change DecodeChange(const wire::Change& message) {
  upstream_change change;
  change.version = message.version();
  change.removed = message.removed();
  change.announced.id = message.id();
  change.announced.born_ms = message.born_ms();
  change.announced.service = message.service();
  change.announced.address = message.address();
  change.announced.domain = message.domain();
  change.announced.slots = message.slots();
  change.announced.draining = message.draining();
  change.announced.reclaimable = message.reclaimable();
  return change;
}

// Whether a change can be applied. Another change was not sent by this system,
// since entries of the store are held to the same conditions.
bool CanApply(const upstream_change& change) {
  const upstream_announcement& announced = change.announced;
  return !announced.id.empty() &&
         (change.removed ? HasShortNames(announced) : IsUsable(announced));
}

void EncodeRead(const read_tokens& read, wire::Read& message) {
  message.set_service(read.service);
  message.set_tokens(read.tokens);
  const engine_profile& profile = read.profile;
  if (profile.observations == 0) {
    return;
  }
  message.set_observations(profile.observations);
  message.set_fixed_us(static_cast<float>(profile.fixed_us));
  message.set_prefill_us_per_token(
      static_cast<float>(profile.prefill_us_per_token));
  message.set_prefill_us_per_pair(
      static_cast<float>(profile.prefill_us_per_pair));
  message.set_running_us_per_token(
      static_cast<float>(profile.running_us_per_token));
  message.set_queued_us_per_token(
      static_cast<float>(profile.queued_us_per_token));
  message.set_mean_us_per_token(static_cast<float>(profile.mean_us_per_token));
}

read_tokens DecodeRead(const wire::Read& message) {
  read_tokens read{message.service(), message.tokens(), {}};
  if (message.observations() == 0) {
    return read;
  }
  const engine_profile profile{message.fixed_us(),
                               message.prefill_us_per_token(),
                               message.prefill_us_per_pair(),
                               message.running_us_per_token(),
                               message.mean_us_per_token(),
                               message.queued_us_per_token(),
                               message.observations()};
  if (IsPlausible(profile)) {
    read.profile = profile;
  }
  return read;
}

std::uint64_t EncodeTime(time_point at) {
  return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

std::optional<time_point> DecodeTime(std::uint64_t us) {
  return us > kMaxWallUs ? std::nullopt
                         : std::optional(time_point(
                               duration(static_cast<std::int64_t>(us))));
}

void EncodeNews(const store_news& news, wire::StoreNews& message) {
  message.set_manifest_version(news.manifest_version);
  message.set_through(news.through);
  message.set_from(news.from);
  message.set_whole(news.whole);
  for (const upstream_change& each : news.changes) {
    EncodeChange(each, *message.add_changes());
  }
  if (news.confirmed_age) {
    message.set_confirmed(true);
    message.set_confirmed_age_us(static_cast<std::uint64_t>(
        std::max<duration::rep>(news.confirmed_age->count(), 0)));
  }
  if (news.asked_at) {
    message.set_asked_at_us(EncodeTime(*news.asked_at));
  }
  message.set_fetch_address(news.fetch_address);
  if (news.document) {
    message.mutable_document()->set_revision(news.document->revision);
    message.mutable_document()->set_text(news.document->text);
  }
}

// News with a change that can't be applied are as if that one had not been
// sent: the receiver must not take the rest for complete.
std::optional<store_news> DecodeNews(const wire::StoreNews& message) {
  store_news news;
  news.manifest_version = message.manifest_version();
  news.through = message.through();
  news.from = message.from();
  news.whole = message.whole();
  for (const wire::Change& each : message.changes()) {
    auto change = DecodeChange(each);
    if (!CanApply(change)) {
      return std::nullopt;
    }
    news.changes.push_back(std::move(change));
  }
  if (message.confirmed()) {
    if (message.confirmed_age_us() > kMaxAgeUs) {
      return std::nullopt;
    }
    news.confirmed_age =
        duration(static_cast<std::int64_t>(message.confirmed_age_us()));
  }
  if (message.asked_at_us() != 0) {
    news.asked_at = DecodeTime(message.asked_at_us());
    if (!news.asked_at) {
      return std::nullopt;
    }
  }
  news.fetch_address = message.fetch_address();
  if (message.has_document()) {
    news.document = {message.document().revision(), message.document().text()};
  }
  if (news.from > news.through || news.fetch_address.size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return news;
}

std::uint32_t EncodeAge(duration age) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(ms.count(), 0, kMaxAgeMs));
}

void EncodeSuspect(const suspect_report& suspect, wire::Suspect& message) {
  const std::span<const std::uint64_t> parts = suspect.parts;
  message.set_part(parts.empty() ? 0 : parts.front());
  for (const std::uint64_t each :
       parts.subspan(std::min<std::size_t>(1, parts.size()))) {
    message.add_more_parts(each);
  }
  if (suspect.answered_age) {
    message.set_answered(true);
    message.set_answered_age_ms(EncodeAge(*suspect.answered_age));
  }
  if (suspect.tried_age) {
    message.set_tried(true);
    message.set_tried_age_ms(EncodeAge(*suspect.tried_age));
  }
  for (const suspect_report::crash& each : suspect.crashes) {
    wire::Crash* crash = message.add_crashes();
    crash->set_upstream_hash(each.upstream_hash);
    crash->set_call_hash(each.call_hash);
    crash->set_age_ms(EncodeAge(each.age));
  }
}

// Another program may send longer lists; the rest of one is ignored.
suspect_report DecodeSuspect(const wire::Suspect& message) {
  suspect_report suspect;
  suspect.parts.push_back(message.part());
  for (const std::uint64_t each : message.more_parts()) {
    if (suspect.parts.size() == kPartsPerReport) {
      break;
    }
    suspect.parts.push_back(each);
  }
  if (message.answered()) {
    suspect.answered_age = std::chrono::milliseconds(message.answered_age_ms());
  }
  if (message.tried()) {
    suspect.tried_age = std::chrono::milliseconds(message.tried_age_ms());
  }
  for (const wire::Crash& each : message.crashes()) {
    if (suspect.crashes.size() == kCrashesPerSuspect) {
      break;
    }
    suspect.crashes.push_back({each.upstream_hash(), each.call_hash(),
                               std::chrono::milliseconds(each.age_ms())});
  }
  return suspect;
}

}  // namespace

namespace {

// Calls `visit` with each change of a report and of its news.
template <typename Report, typename Visitor>
void ForEachChange(Report& report, Visitor visit) {
  for (auto& each : report.changes) {
    visit(each.announced);
  }
  if (report.news) {
    for (auto& each : report.news->changes) {
      visit(each.announced);
    }
  }
}

void EncodeSequences(const peer_report& report, wire::PeerReport& message) {
  bool any = false;
  ForEachChange(report, [&](const upstream_announcement& announced) {
    any = any || announced.sequence != 0;
  });
  if (any) {
    ForEachChange(report, [&](const upstream_announcement& announced) {
      message.add_sequences(announced.sequence);
    });
  }
}

// Sequences that don't match the changes one to one are left out.
void DecodeSequences(const wire::PeerReport& message, peer_report& report) {
  const int sent_changes =
      message.changes_size() + message.news().changes_size();
  int changes = 0;
  ForEachChange(report, [&](const upstream_announcement&) { ++changes; });
  if (message.sequences_size() != changes || changes != sent_changes) {
    return;
  }
  auto next = message.sequences().begin();
  ForEachChange(report, [&](upstream_announcement& announced) {
    announced.sequence = *next++;
  });
}

}  // namespace

std::string EncodePeerReport(const peer_report& report) {
  wire::PeerReport message;
  message.set_name(report.name);
  message.set_epoch(report.epoch);
  message.set_sequence(report.sequence);
  message.set_address(report.address);
  message.set_duty_fencing(report.duty_fencing);
  message.set_wall_us(report.wall_us);
  message.set_leaving(report.leaving);
  message.set_manifest_version(report.manifest_version);
  message.set_upstream_digest(report.upstream_digest);
  message.set_verified(report.verified);
  message.set_watching(report.watching);
  message.set_has_refused(report.has_refused);
  message.set_content(static_cast<std::uint32_t>(report.content));
  for (const upstream_change& each : report.changes) {
    EncodeChange(each, *message.add_changes());
  }
  for (const granted_units& each : report.granted) {
    wire::Granted* granted = message.add_granted();
    granted->set_workspace(each.workspace);
    granted->set_units(each.units);
    granted->set_refused(each.refused);
  }
  for (const usage_count& each : report.begun) {
    wire::Begun* begun = message.add_begun();
    begun->set_window(each.window);
    begun->set_workspace(each.workspace);
    begun->set_requests(each.requests);
  }
  for (const std::uint64_t each : report.final_windows) {
    message.add_final_windows(each);
  }
  for (const sent_work& each : report.sent) {
    wire::Sent* sent = message.add_sent();
    sent->set_upstream_hash(each.upstream_hash);
    sent->set_running(each.running);
    sent->set_unread_tokens(each.unread_tokens);
    sent->set_paced_answers(std::min(each.paced_answers, kMaxPacedAnswers));
    sent->set_paced_permille(std::min(each.paced_permille, kMaxPacedPermille));
  }
  for (const read_tokens& each : report.read) {
    EncodeRead(each, *message.add_read());
  }
  for (const suspect_report& each : report.suspects) {
    EncodeSuspect(each, *message.add_suspects());
  }
  if (report.news) {
    EncodeNews(*report.news, *message.mutable_news());
  }
  if (report.content == report_content::kNewsQuestion) {
    message.set_asked_at_us(EncodeTime(report.asked_at));
  }
  message.set_store_era(report.store_era);
  EncodeSequences(report, message);
  EncodeRollouts(report, message);
  return message.SerializeAsString();
}

std::optional<peer_report> DecodePeerReport(std::string_view bytes) {
  wire::PeerReport message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.name().empty() || message.name().size() > kMaxNameBytes ||
      message.wall_us() > kMaxWallUs ||
      message.content() >
          static_cast<std::uint32_t>(report_content::kRolloutQuestion)) {
    return std::nullopt;
  }
  peer_report report;
  report.name = message.name();
  report.epoch = message.epoch();
  report.sequence = message.sequence();
  report.address = message.address();
  report.duty_fencing = message.duty_fencing();
  report.wall_us = message.wall_us();
  report.leaving = message.leaving();
  report.manifest_version = message.manifest_version();
  report.upstream_digest = message.upstream_digest();
  report.verified = message.verified();
  report.watching = message.watching();
  report.has_refused = message.has_refused();
  report.content = static_cast<report_content>(message.content());
  for (const wire::Change& each : message.changes()) {
    if (auto change = DecodeChange(each); CanApply(change)) {
      report.changes.push_back(std::move(change));
    }
  }
  for (const wire::Granted& each : message.granted()) {
    report.granted.push_back({each.workspace(), each.units(), each.refused()});
  }
  for (const wire::Begun& each : message.begun()) {
    report.begun.push_back({each.window(), each.workspace(), each.requests()});
  }
  report.final_windows.assign(message.final_windows().begin(),
                              message.final_windows().end());
  if (report.content == report_content::kFinalUsage &&
      report.final_windows.empty() && !report.begun.empty()) {
    report.final_windows.push_back(report.begun.front().window);
  }
  for (const wire::Sent& each : message.sent()) {
    report.sent.push_back({each.upstream_hash(), each.running(),
                           each.unread_tokens(),
                           std::min(each.paced_answers(), kMaxPacedAnswers),
                           std::min(each.paced_permille(), kMaxPacedPermille)});
  }
  for (const wire::Read& each : message.read()) {
    report.read.push_back(DecodeRead(each));
  }
  for (const wire::Suspect& each : message.suspects()) {
    if (report.suspects.size() == kMaxSuspectsPerReport) {
      break;
    }
    report.suspects.push_back(DecodeSuspect(each));
  }
  if (report.content == report_content::kNews) {
    report.news = DecodeNews(message.news());
    if (!report.news) {
      return std::nullopt;
    }
  }
  if (report.content == report_content::kNewsQuestion) {
    const auto asked_at = DecodeTime(message.asked_at_us());
    if (!asked_at) {
      return std::nullopt;
    }
    report.asked_at = *asked_at;
  }
  report.store_era = message.store_era();
  DecodeSequences(message, report);
  // Versions refer to changes by their place in the message.
  const bool has_all_changes =
      report.news || std::ssize(report.changes) == message.changes_size();
  if (!DecodeRollouts(message, has_all_changes, report)) {
    return std::nullopt;
  }
  return report;
}

}  // namespace anvilloom
