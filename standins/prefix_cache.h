// Defines prefix_cache, the prompt prefix cache of the engine stand-in: an LRU
// cache of token blocks with limited capacity.
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

// Returns token ids for a prompt: a hash of each 4 bytes of its text.
std::vector<std::uint64_t> PromptTokens(std::string_view messages);

// Not thread-safe.
class prefix_cache {
 public:
  // `capacity` is in tokens.
  explicit prefix_cache(std::size_t capacity);

  // Returns the length of the longest cached prefix of `tokens`, in whole
  // blocks, and marks these blocks as recently used.
  std::size_t Match(std::span<const std::uint64_t> tokens);
  // Caches the complete blocks of `tokens`.
  void Insert(std::span<const std::uint64_t> tokens);
  void Clear();

  // Used share of the capacity, in thousandths.
  std::uint32_t permille() const;

 private:
  using block_list = std::list<std::uint64_t>;

  std::size_t capacity_blocks_;
  // Chained hashes of the blocks, most recently used first.
  block_list recent_;
  std::unordered_map<std::uint64_t, block_list::iterator> blocks_;
};

}  // namespace anvilloom

#endif  // STANDINS_PREFIX_CACHE_H_
