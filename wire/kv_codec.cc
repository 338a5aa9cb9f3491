#include "wire/kv_codec.h"

#include <boost/json/serialize.hpp>

#include "wire/json_text.h"

namespace anvilloom {

std::string EncodeKvExport(std::string_view request_id) {
  return boost::json::serialize(
      boost::json::value{{"request_id", std::string(request_id)}});
}

std::optional<std::string> DecodeKvHandle(std::string_view body) {
  const auto parsed = ParseJson(body);
  const auto handle = parsed ? StringMember(*parsed, "handle") : std::nullopt;
  if (!handle || handle->empty()) {
    return std::nullopt;
  }
  return std::string(*handle);
}

}  // namespace anvilloom
