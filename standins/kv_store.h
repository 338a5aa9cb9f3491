// Defines kv_store, the KV caches that the engine stand-in exports and has
// imported.
#ifndef STANDINS_KV_STORE_H_
#define STANDINS_KV_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// The KV cache of one generation. It travels as the JSON of its description.
struct kv_description {
  std::string handle;
  std::string version;
  // Hash of the prompt, and tokens covered: prompt and answer.
  std::uint64_t prompt_hash = 0;
  std::uint32_t tokens = 0;
  std::uint64_t bytes = 0;
};

std::string EncodeKv(const kv_description& described);
std::optional<kv_description> DecodeKv(std::string_view text);

// Not thread-safe.
class kv_store {
 public:
  // Holds an imported cache for the request that will use it.
  void Import(kv_description imported);
  // Tokens of a prompt that the imported cache covers; the cache is used up.
  std::uint32_t Use(std::string_view handle, std::uint64_t prompt_hash);
  void Clear() { imported_.clear(); }

 private:
  std::map<std::string, kv_description, std::less<>> imported_;
};

}  // namespace anvilloom

#endif  // STANDINS_KV_STORE_H_
