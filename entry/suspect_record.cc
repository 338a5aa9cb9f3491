#include "entry/suspect_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "common/hash.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

json::object EncodeCrash(const suspect_report::crash& crash) {
  return {{"upstream", FormatHash(crash.upstream_hash)},
          {"call", FormatHash(crash.call_hash)},
          {"age_us", crash.age.count()}};
}

std::optional<std::uint64_t> ParseHash(const json::value& encoded) {
  constexpr int kHexadecimal = 16;
  if (!encoded.is_string()) {
    return std::nullopt;
  }
  const json::string& text = encoded.get_string();
  std::uint64_t hash = 0;
  const auto [end, error] = std::from_chars(
      text.data(), text.data() + text.size(), hash, kHexadecimal);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return hash;
}

std::optional<std::uint64_t> HashMember(const json::value& object,
                                        std::string_view key) {
  const json::value* member = FindMember(object, key);
  return member == nullptr ? std::nullopt : ParseHash(*member);
}

std::optional<duration> AgeMember(const json::value& object,
                                  std::string_view key,
                                  duration since) {
  // The clocks of the writer and the reader may differ by any time.
  constexpr std::uint64_t kMaxAgeUs = std::uint64_t{1} << 50U;
  const auto age = UnsignedMember(object, key);
  if (!age || *age > kMaxAgeUs) {
    return std::nullopt;
  }
  return duration(static_cast<std::int64_t>(*age)) + since;
}

std::optional<suspect_report> DecodeSuspect(const json::value& encoded,
                                            duration since) {
  const auto part = HashMember(encoded, "part");
  const json::value* crashes = FindMember(encoded, "crashes");
  if (!part || crashes == nullptr || !crashes->is_array()) {
    return std::nullopt;
  }
  suspect_report suspect;
  suspect.parts.push_back(*part);
  const json::value* more = FindMember(encoded, "more_parts");
  if (more != nullptr && more->is_array()) {
    for (const json::value& each : more->get_array()) {
      if (const auto hash = ParseHash(each)) {
        suspect.parts.push_back(*hash);
      }
    }
  }
  suspect.tried_age = AgeMember(encoded, "tried_age_us", since);
  const json::value* blocked = FindMember(encoded, "blocked");
  suspect.blocked =
      blocked != nullptr && blocked->is_bool() && blocked->get_bool();
  for (const json::value& each : crashes->get_array()) {
    const auto upstream = HashMember(each, "upstream");
    const auto call = HashMember(each, "call");
    const auto age = AgeMember(each, "age_us", since);
    if (upstream && call && age &&
        suspect.crashes.size() < kCrashesPerSuspect) {
      suspect.crashes.push_back({*upstream, *call, *age});
    }
  }
  return suspect;
}

}  // namespace

std::string EncodeEvidence(const suspect_evidence& evidence,
                           std::int64_t wall_us) {
  json::array parts;
  for (const suspect_report& each : evidence.suspects) {
    json::array crashes;
    for (const suspect_report::crash& crash : each.crashes) {
      crashes.push_back(EncodeCrash(crash));
    }
    if (each.parts.empty()) {
      continue;
    }
    json::object part = {{"part", FormatHash(each.parts.front())},
                         {"crashes", std::move(crashes)}};
    // Earlier versions see the first part only.
    json::array more;
    for (const std::uint64_t other : std::span(each.parts).subspan(1)) {
      more.emplace_back(FormatHash(other));
    }
    if (!more.empty()) {
      part["more_parts"] = std::move(more);
    }
    part["blocked"] = each.blocked;
    if (each.tried_age) {
      part["tried_age_us"] = each.tried_age->count();
    }
    parts.push_back(std::move(part));
  }
  json::array ends;
  for (const upstream_end& each : evidence.ends) {
    ends.push_back({{"upstream", FormatHash(each.upstream_hash)},
                    {"age_us", each.age.count()}});
  }
  return json::serialize(json::object{{"wall_us", wall_us},
                                      {"parts", std::move(parts)},
                                      {"ends", std::move(ends)}});
}

std::optional<suspect_evidence> DecodeEvidence(std::string_view text,
                                               std::int64_t wall_us) {
  const auto parsed = ParseJson(text);
  const auto stored_at =
      parsed ? UnsignedMember(*parsed, "wall_us") : std::nullopt;
  const json::value* parts = parsed ? FindMember(*parsed, "parts") : nullptr;
  if (!stored_at || parts == nullptr || !parts->is_array()) {
    return std::nullopt;
  }
  const auto now =
      static_cast<std::uint64_t>(std::max<std::int64_t>(wall_us, 0));
  const duration since(
      static_cast<std::int64_t>(now - std::min(now, *stored_at)));
  suspect_evidence evidence;
  for (const json::value& each : parts->get_array()) {
    if (auto suspect = DecodeSuspect(each, since)) {
      evidence.suspects.push_back(std::move(*suspect));
    }
  }
  // Earlier versions store no ends.
  const json::value* ends = FindMember(*parsed, "ends");
  if (ends != nullptr && ends->is_array()) {
    for (const json::value& each : ends->get_array()) {
      const auto upstream = HashMember(each, "upstream");
      const auto age = AgeMember(each, "age_us", since);
      if (upstream && age) {
        evidence.ends.push_back({*upstream, *age});
      }
    }
  }
  return evidence;
}

}  // namespace anvilloom
