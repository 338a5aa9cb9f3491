#include "standins/kv_store.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "wire/json_text.h"

namespace anvilloom {

std::string EncodeKv(const kv_description& description) {
  const boost::json::value text = {{"handle", description.handle},
                                   {"version", description.version},
                                   {"prompt_hash", description.prompt_hash},
                                   {"tokens", description.tokens},
                                   {"bytes", description.bytes}};
  return boost::json::serialize(text);
}

std::optional<kv_description> DecodeKv(std::string_view text) {
  const auto parsed = ParseJson(text);
  const auto handle = parsed ? StringMember(*parsed, "handle") : std::nullopt;
  if (!handle) {
    return std::nullopt;
  }
  kv_description description;
  description.handle = *handle;
  description.version = StringMember(*parsed, "version").value_or("");
  description.prompt_hash = UnsignedMember(*parsed, "prompt_hash").value_or(0);
  description.tokens =
      static_cast<std::uint32_t>(UnsignedMember(*parsed, "tokens").value_or(0));
  description.bytes = UnsignedMember(*parsed, "bytes").value_or(0);
  return description;
}

void kv_store::Import(kv_description imported) {
  std::string handle = imported.handle;
  imported_.insert_or_assign(std::move(handle), std::move(imported));
}

std::uint32_t kv_store::Consume(std::string_view handle,
                                std::uint64_t prompt_hash) {
  const auto found = imported_.find(handle);
  if (found == imported_.end()) {
    return 0;
  }
  const kv_description consumed = std::move(found->second);
  imported_.erase(found);
  return consumed.prompt_hash == prompt_hash ? consumed.tokens : 0;
}

}  // namespace anvilloom
