#include "wire/claim_json.h"

#include <openssl/evp.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <limits>
#include <utility>

#include "wire/decoded_duration.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

constexpr std::size_t kBase64Group = 4;
constexpr std::size_t kBytesPerGroup = 3;

// Statuses of final HTTP answers.
constexpr std::uint64_t kMinStatus = 200;
constexpr std::uint64_t kMaxStatus = 599;

// Bodies are stored as base64 because they may hold arbitrary bytes, which JSON
// strings cannot represent.
std::string EncodeBase64(std::string_view bytes) {
  const std::size_t groups =
      (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // EVP_EncodeBlock also writes a terminating null byte.
  std::string text(groups * kBase64Group + 1, '\0');
  const int written =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(written));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kBase64Group != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kBase64Group * kBytesPerGroup, '\0');
  const int written =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (written < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes padding to zero bytes and counts them.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(written) - padding);
  return bytes;
}

json::object EncodeAnswer(const claim_answer& answer) {
  json::object encoded;
  encoded["status"] = answer.status;
  encoded["content_type"] = answer.content_type;
  if (answer.omitted || answer.body.size() > kMaxStoredBodyBytes) {
    encoded["omitted"] = true;
  } else {
    encoded["body_base64"] = EncodeBase64(answer.body);
  }
  return encoded;
}

std::optional<claim_answer> DecodeAnswer(const json::value& encoded) {
  const auto status = UnsignedMember(encoded, "status");
  const auto type = StringMember(encoded, "content_type");
  if (!status || *status < kMinStatus || *status > kMaxStatus || !type) {
    return std::nullopt;
  }
  claim_answer answer;
  answer.status = static_cast<unsigned>(*status);
  answer.content_type = *type;
  answer.omitted = BoolMember(encoded, "omitted").value_or(false);
  if (answer.omitted) {
    return answer;
  }
  const auto text = StringMember(encoded, "body_base64");
  auto body = text ? DecodeBase64(*text) : std::nullopt;
  if (!body) {
    return std::nullopt;
  }
  answer.body = std::move(*body);
  return answer;
}

}  // namespace

std::string EncodeClaim(const claim_record& record) {
  json::object encoded;
  encoded["state"] = std::string(Name(record.state));
  encoded["attempt"] = record.attempt;
  encoded["owner"] = record.owner;
  encoded["request_sha256"] = record.request_digest;
  encoded["lease_us"] = record.lease.count();
  encoded["written_at_s"] = record.written_at_s;
  if (record.state == claim_state::kDone) {
    encoded["answer"] = EncodeAnswer(record.answer);
  }
  return json::serialize(encoded);
}

std::optional<claim_record> DecodeClaim(std::string_view text) {
  constexpr std::uint64_t kMaxSeconds =
      std::numeric_limits<std::int64_t>::max();
  const auto parsed = ParseJson(text);
  if (!parsed) {
    return std::nullopt;
  }
  const auto state_name = StringMember(*parsed, "state");
  const auto state = state_name ? FindClaimState(*state_name) : std::nullopt;
  const auto attempt = StringMember(*parsed, "attempt");
  const auto owner = StringMember(*parsed, "owner");
  const auto digest = StringMember(*parsed, "request_sha256");
  const auto lease_us = UnsignedMember(*parsed, "lease_us");
  const auto lease = lease_us ? DecodeMicroseconds(*lease_us) : std::nullopt;
  const auto written_at = UnsignedMember(*parsed, "written_at_s");
  if (!state || !attempt || !owner || !digest || !lease || !written_at ||
      *written_at > kMaxSeconds) {
    return std::nullopt;
  }
  claim_record record;
  record.state = *state;
  record.attempt = *attempt;
  record.owner = *owner;
  record.request_digest = *digest;
  record.lease = *lease;
  record.written_at_s = static_cast<std::int64_t>(*written_at);
  if (record.state == claim_state::kDone) {
    const json::value* encoded = FindMember(*parsed, "answer");
    auto answer = encoded == nullptr ? std::nullopt : DecodeAnswer(*encoded);
    if (!answer) {
      return std::nullopt;
    }
    record.answer = std::move(*answer);
  }
  return record;
}

}  // namespace anvilloom
