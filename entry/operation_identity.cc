#include "entry/operation_identity.h"

#include <boost/json/serialize.hpp>
#include <span>
#include <string_view>

#include "common/hash.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

// A longer value of a field identifies no operation: a parsed value takes many
// times its text.
constexpr std::size_t kMaxIdentityBytes = std::size_t{16} * 1024;

// The length prefix makes the concatenation of parts unambiguous.
void AppendLengthPrefixed(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

std::optional<std::string> KeyFromBody(std::string_view body,
                                       std::span<const std::string> fields) {
  if (fields.empty() || !IsValidJson(body)) {
    return std::nullopt;
  }
  std::string key;
  for (const std::string& field : fields) {
    const std::string_view text = FindRawMember(body, field);
    const auto member =
        text.size() <= kMaxIdentityBytes ? ParseJson(text) : std::nullopt;
    if (!member || member->is_null()) {
      return std::nullopt;
    }
    AppendLengthPrefixed(key, field);
    AppendLengthPrefixed(key, boost::json::serialize(*member));
  }
  return key;
}

}  // namespace

std::optional<operation_identity> IdentifyOperation(
    const http_exchange& exchange,
    const workspace& customer,
    const service& target) {
  const std::string_view header = exchange.Header("Idempotency-Key");
  const std::string_view body = exchange.request().body();
  const std::optional<std::string> from_body =
      header.empty() ? KeyFromBody(body, target.terms.identity_fields)
                     : std::nullopt;
  if (header.empty() && !from_body) {
    return std::nullopt;
  }
  std::string operation;
  AppendLengthPrefixed(operation, customer.name);
  AppendLengthPrefixed(operation, target.name);
  AppendLengthPrefixed(operation, header.empty() ? "fields" : "header");
  AppendLengthPrefixed(operation, header.empty() ? *from_body : header);
  const auto method = exchange.request().method_string();
  std::string request;
  AppendLengthPrefixed(request, {method.data(), method.size()});
  AppendLengthPrefixed(request, exchange.target());
  AppendLengthPrefixed(request, body);
  return operation_identity{Sha256Hex(operation), Sha256Hex(request)};
}

}  // namespace anvilloom
