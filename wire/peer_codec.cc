#include "wire/peer_codec.h"

#include <algorithm>
#include <utility>

#include "wire/decoded_duration.h"
#include "wire/load_codec.h"
#include "wire/peer.pb.h"

namespace anvilloom {

namespace {

constexpr std::uint32_t kPermillePerPercent = 10;
// Limits the effect of an invalid age on the time of a report.
constexpr std::uint32_t kMaxAgeMs = 3'600'000;
// A member that is reported as failed refutes it with the next number, so a
// message that leaves it none is invalid.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62U;

void Encode(const member_update& update, peer::MemberUpdate& out) {
  out.set_name(update.profile.name);
  out.set_state(static_cast<std::uint32_t>(update.state));
  out.set_incarnation(update.incarnation);
  out.set_peer_address(update.profile.peer_address);
  out.set_http_address(update.profile.http_address);
  out.set_domain(update.profile.domain);
  out.set_epoch(update.profile.epoch);
  out.set_leaving(update.profile.leaving);
}

void Encode(const membership_message& message, peer::Envelope& envelope) {
  peer::Membership& out = *envelope.mutable_membership();
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_sequence(message.sequence);
  out.set_target_address(message.target_address);
  out.set_revision(message.revision);
  out.set_has_page(message.page.has_value());
  out.set_page(message.page.value_or(""));
  for (const member_update& update : message.updates) {
    Encode(update, *out.add_updates());
  }
}

void Encode(const configuration_announce& message, peer::Envelope& envelope) {
  envelope.mutable_configuration_announce()->set_revision(message.revision);
}

void Encode(const configuration_fetch& message, peer::Envelope& envelope) {
  envelope.mutable_configuration_fetch()->set_digest(message.digest);
}

void Encode(const configuration_fetch_answer& message,
            peer::Envelope& envelope) {
  auto& out = *envelope.mutable_configuration_fetch_answer();
  out.set_found(message.found);
  out.set_text(message.text);
}

void Encode(const load_summary& message, peer::Envelope& envelope) {
  peer::LoadSummary& out = *envelope.mutable_load_summary();
  const auto age =
      std::chrono::ceil<std::chrono::milliseconds>(message.age).count();
  out.set_round(message.round);
  out.set_age_ms(
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, kMaxAgeMs)));
  const bool versions = std::ranges::any_of(
      message.engines, [](const engine_load& each) { return each.version; });
  for (const engine_load& each : message.engines) {
    out.add_upstreams(each.upstream);
    out.add_terms(each.term);
    out.add_running(each.report.running);
    out.add_waiting(each.report.waiting);
    out.add_cache_percent(each.report.cache_permille / kPermillePerPercent);
    if (versions) {
      out.add_versions(each.version);
    }
  }
}

void Encode(const stream_handover& message, peer::Envelope& envelope) {
  peer::StreamHandover& out = *envelope.mutable_stream_handover();
  out.set_stream(message.stream);
  out.set_request_id(message.request_id);
  out.set_workspace(message.workspace);
  out.set_service(message.service);
  out.set_messages(message.messages);
  out.set_max_tokens(message.max_tokens);
  out.set_wants_stream(message.wants_stream);
  out.set_first_token_remaining_us(message.first_token_remaining.count());
  out.set_answer_remaining_us(message.answer_remaining.count());
  out.set_model_version(message.model_version);
  out.set_text(message.text);
  out.mutable_ends()->Add(message.ends.begin(), message.ends.end());
  out.set_transfer(message.transfer);
}

void Encode(const stream_handover_answer& message, peer::Envelope& envelope) {
  envelope.mutable_stream_handover_answer()->set_accepted(message.accepted);
}

void Encode(const stream_locate& message, peer::Envelope& envelope) {
  envelope.mutable_stream_locate()->set_stream(message.stream);
}

void Encode(const stream_locate_answer& message, peer::Envelope& envelope) {
  auto& out = *envelope.mutable_stream_locate_answer();
  out.set_found(message.found);
  out.set_http_address(message.http_address);
  out.set_transfer(message.transfer);
}

std::optional<member_update> Decode(const peer::MemberUpdate& in) {
  if (in.state() > static_cast<std::uint32_t>(member_state::kLeft) ||
      in.name().empty() || in.incarnation() > kMaxIncarnation) {
    return std::nullopt;
  }
  member_update update;
  update.profile = {in.name(),   in.peer_address(), in.http_address(),
                    in.domain(), in.epoch(),        in.leaving()};
  update.state = static_cast<member_state>(in.state());
  update.incarnation = in.incarnation();
  return update;
}

std::optional<peer_body> Decode(const peer::Membership& in) {
  if (in.kind() >
      static_cast<std::uint32_t>(membership_message_kind::kIndirectProbe)) {
    return std::nullopt;
  }
  membership_message message;
  message.kind = static_cast<membership_message_kind>(in.kind());
  message.sequence = in.sequence();
  message.target_address = in.target_address();
  message.revision = in.revision();
  if (in.has_page()) {
    message.page = in.page();
  }
  for (const peer::MemberUpdate& each : in.updates()) {
    auto update = Decode(each);
    if (!update) {
      return std::nullopt;
    }
    message.updates.push_back(std::move(*update));
  }
  return message;
}

std::optional<peer_body> Decode(const peer::LoadSummary& in) {
  const int count = in.upstreams_size();
  const bool sizes_match =
      in.terms_size() == count && in.running_size() == count &&
      in.waiting_size() == count && in.cache_percent_size() == count &&
      (in.versions_size() == count || in.versions_size() == 0);
  if (!sizes_match || in.age_ms() > kMaxAgeMs) {
    return std::nullopt;
  }
  load_summary summary;
  summary.round = in.round();
  summary.age = std::chrono::milliseconds(in.age_ms());
  for (int i = 0; i < count; ++i) {
    const auto report = MakeLoadReport(
        in.running(i), in.waiting(i),
        std::uint64_t{in.cache_percent(i)} * kPermillePerPercent);
    if (!report) {
      return std::nullopt;
    }
    summary.engines.push_back(
        {in.upstreams(i), in.terms(i), *report,
         in.versions_size() == count ? in.versions(i) : 0});
  }
  return summary;
}

std::optional<peer_body> Decode(const peer::StreamHandover& in) {
  stream_handover message;
  // Negative remaining times become too large ones.
  const auto first_token_remaining = DecodeMicroseconds(
      static_cast<std::uint64_t>(in.first_token_remaining_us()));
  const auto answer_remaining =
      DecodeMicroseconds(static_cast<std::uint64_t>(in.answer_remaining_us()));
  if (!first_token_remaining || !answer_remaining) {
    return std::nullopt;
  }
  std::uint32_t previous = 0;
  for (const std::uint32_t end : in.ends()) {
    if (end < previous || end > in.text().size()) {
      return std::nullopt;
    }
    previous = end;
    message.ends.push_back(end);
  }
  if (previous != in.text().size()) {
    return std::nullopt;
  }
  message.stream = in.stream();
  message.request_id = in.request_id();
  message.workspace = in.workspace();
  message.service = in.service();
  message.messages = in.messages();
  message.max_tokens = in.max_tokens();
  message.wants_stream = in.wants_stream();
  message.first_token_remaining = *first_token_remaining;
  message.answer_remaining = *answer_remaining;
  message.model_version = in.model_version();
  message.text = in.text();
  message.transfer = in.transfer();
  return message;
}

std::optional<peer_body> DecodeBody(const peer::Envelope& in) {
  switch (in.body_case()) {
    case peer::Envelope::kMembership:
      return Decode(in.membership());
    case peer::Envelope::kConfigurationAnnounce:
      return configuration_announce{in.configuration_announce().revision()};
    case peer::Envelope::kConfigurationFetch:
      return configuration_fetch{in.configuration_fetch().digest()};
    case peer::Envelope::kConfigurationFetchAnswer:
      return configuration_fetch_answer{in.configuration_fetch_answer().found(),
                                        in.configuration_fetch_answer().text()};
    case peer::Envelope::kLoadSummary:
      return Decode(in.load_summary());
    case peer::Envelope::kStreamHandover:
      return Decode(in.stream_handover());
    case peer::Envelope::kStreamHandoverAnswer:
      return stream_handover_answer{in.stream_handover_answer().accepted()};
    case peer::Envelope::kStreamLocate:
      return stream_locate{in.stream_locate().stream()};
    case peer::Envelope::kStreamLocateAnswer:
      return stream_locate_answer{in.stream_locate_answer().found(),
                                  in.stream_locate_answer().http_address(),
                                  in.stream_locate_answer().transfer()};
    case peer::Envelope::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodePeerMessage(const peer_message& message) {
  peer::Envelope envelope;
  envelope.set_from_address(message.from_address);
  envelope.set_call(message.call);
  std::visit([&](const auto& body) { Encode(body, envelope); }, message.body);
  return envelope.SerializeAsString();
}

std::optional<peer_message> DecodePeerMessage(std::string_view bytes) {
  peer::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  auto body = DecodeBody(envelope);
  if (!body) {
    return std::nullopt;
  }
  return peer_message{envelope.from_address(), envelope.call(),
                      std::move(*body)};
}

}  // namespace anvilloom
