#include "standins/prefix_cache.h"

#include <algorithm>

#include "common/hash.h"

namespace anvilloom {

namespace {

constexpr std::size_t kBlockTokens = 16;
constexpr std::size_t kBytesPerToken = 4;

// Returns the hash of each complete block, chained with the preceding blocks,
// so that equal hashes mean equal prefixes.
std::vector<std::uint64_t> BlockHashes(std::span<const std::uint64_t> tokens) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    chain = CombineHash(chain, tokens[i]);
    if ((i + 1) % kBlockTokens == 0) {
      hashes.push_back(chain);
    }
  }
  return hashes;
}

}  // namespace

std::vector<std::uint64_t> PromptTokens(std::string_view messages) {
  std::vector<std::uint64_t> tokens;
  for (std::size_t at = 0; at <= messages.size(); at += kBytesPerToken) {
    tokens.push_back(Hash64(messages.substr(at, kBytesPerToken)));
  }
  return tokens;
}

prefix_cache::prefix_cache(std::size_t capacity)
    : capacity_blocks_(std::max<std::size_t>(capacity / kBlockTokens, 1)) {}

std::size_t prefix_cache::Match(std::span<const std::uint64_t> tokens) {
  std::size_t matched = 0;
  for (const std::uint64_t hash : BlockHashes(tokens)) {
    const auto found = blocks_.find(hash);
    if (found == blocks_.end()) {
      break;
    }
    recent_.splice(recent_.begin(), recent_, found->second);
    matched += kBlockTokens;
  }
  return matched;
}

void prefix_cache::Insert(std::span<const std::uint64_t> tokens) {
  for (const std::uint64_t hash : BlockHashes(tokens)) {
    const auto found = blocks_.find(hash);
    if (found != blocks_.end()) {
      recent_.splice(recent_.begin(), recent_, found->second);
      continue;
    }
    recent_.push_front(hash);
    blocks_.emplace(hash, recent_.begin());
    if (recent_.size() > capacity_blocks_) {
      blocks_.erase(recent_.back());
      recent_.pop_back();
    }
  }
}

void prefix_cache::Clear() {
  recent_.clear();
  blocks_.clear();
}

std::uint32_t prefix_cache::permille() const {
  return static_cast<std::uint32_t>(recent_.size() * 1000 / capacity_blocks_);
}

}  // namespace anvilloom
