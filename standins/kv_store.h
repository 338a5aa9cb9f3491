// Defines kv_store, which holds the KV caches imported by the engine stand-in,
// and the encoding of exported caches.
#ifndef STANDINS_KV_STORE_H_
#define STANDINS_KV_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// Describes the KV cache of one generation. Engines transfer the description as
// JSON in place of the cache contents.
struct kv_description {
  std::string handle;
  std::string version;
  // Hash of the prompt, and number of cached tokens of prompt and response.
  std::uint64_t prompt_hash = 0;
  std::uint32_t tokens = 0;
  std::uint64_t bytes = 0;
};

std::string EncodeKv(const kv_description& description);
std::optional<kv_description> DecodeKv(std::string_view text);

// Not thread-safe.
class kv_store {
 public:
  // Stores a cache until Consume() is called with its handle.
  void Import(kv_description imported);
  // Removes the cache and returns the number of tokens that it covers, or 0 if
  // it does not exist or belongs to another prompt.
  std::uint32_t Consume(std::string_view handle, std::uint64_t prompt_hash);
  void Clear() { imported_.clear(); }

 private:
  std::map<std::string, kv_description, std::less<>> imported_;
};

}  // namespace anvilloom

#endif  // STANDINS_KV_STORE_H_
