// Defines prompt_shape, the properties of a prompt that routing uses: hashes of
// the prefixes that other calls may share, and token counts.
#ifndef LINKS_PROMPT_H_
#define LINKS_PROMPT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace anvilloom {

// A prompt up to the end of one of its parts. An engine that caches it computes
// only the rest of the prompt.
struct prompt_prefix {
  // Hash of the model and all parts up to here.
  std::uint64_t hash = 0;
  // Tokens of all parts up to here.
  std::uint32_t tokens = 0;
  // Hash of the last of these parts alone.
  std::uint64_t part = 0;
};

struct prompt_shape {
  // Ordered from the shortest prefix to the whole prompt; empty for calls that
  // are not to a model.
  std::vector<prompt_prefix> prefixes;
  std::uint32_t prompt_tokens = 0;
  // Upper bound of the tokens in the answer.
  std::uint32_t answer_tokens = 0;

  // The prefixes that other calls may share: all but the last, which ends with
  // the part that is private to the call or its session.
  std::span<const prompt_prefix> Shared() const {
    return std::span(prefixes).first(prefixes.empty() ? 0
                                                      : prefixes.size() - 1);
  }
};

}  // namespace anvilloom

#endif  // LINKS_PROMPT_H_
