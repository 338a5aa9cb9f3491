#include "standins/kv_store.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "wire/json_text.h"

namespace anvilloom {

std::string EncodeKv(const kv_description& described) {
  const boost::json::value text = {{"handle", described.handle},
                                   {"version", described.version},
                                   {"prompt_hash", described.prompt_hash},
                                   {"tokens", described.tokens},
                                   {"bytes", described.bytes}};
  return boost::json::serialize(text);
}

std::optional<kv_description> DecodeKv(std::string_view text) {
  const auto parsed = ParseJson(text);
  const auto handle = parsed ? StringMember(*parsed, "handle") : std::nullopt;
  if (!handle) {
    return std::nullopt;
  }
  kv_description described;
  described.handle = *handle;
  described.version = StringMember(*parsed, "version").value_or("");
  described.prompt_hash = UnsignedMember(*parsed, "prompt_hash").value_or(0);
  described.tokens =
      static_cast<std::uint32_t>(UnsignedMember(*parsed, "tokens").value_or(0));
  described.bytes = UnsignedMember(*parsed, "bytes").value_or(0);
  return described;
}

void kv_store::Import(kv_description imported) {
  std::string handle = imported.handle;
  imported_.insert_or_assign(std::move(handle), std::move(imported));
}

std::uint32_t kv_store::Use(std::string_view handle,
                            std::uint64_t prompt_hash) {
  const auto found = imported_.find(handle);
  if (found == imported_.end()) {
    return 0;
  }
  const kv_description used = std::move(found->second);
  imported_.erase(found);
  return used.prompt_hash == prompt_hash ? used.tokens : 0;
}

}  // namespace anvilloom
