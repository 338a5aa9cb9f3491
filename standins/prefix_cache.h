// Defines prefix_cache, the prompt prefix cache of the engine stand-in: blocks
// of tokens in limited memory, the least recently used evicted first.
#ifndef STANDINS_PREFIX_CACHE_H_
#define STANDINS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anvilloom {

// Identities of the tokens of a prompt: one for every 4 bytes of its text.
std::vector<std::uint64_t> PromptTokens(std::string_view messages);

// Not thread-safe.
class prefix_cache {
 public:
  // `capacity` is in tokens.
  explicit prefix_cache(std::size_t capacity);

  // Tokens at the start of `tokens` that are cached, in whole blocks. Marks
  // them as used.
  std::size_t Match(std::span<const std::uint64_t> tokens);
  // Caches the whole blocks of `tokens`.
  void Insert(std::span<const std::uint64_t> tokens);
  void Clear();

  // Share of the memory in use, in thousandths.
  std::uint32_t permille() const;

 private:
  using block_list = std::list<std::uint64_t>;

  std::size_t capacity_blocks_;
  // Chained hashes of blocks, most recently used first.
  block_list recent_;
  std::unordered_map<std::uint64_t, block_list::iterator> blocks_;
};

}  // namespace anvilloom

#endif  // STANDINS_PREFIX_CACHE_H_
