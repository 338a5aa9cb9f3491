// Defines prompt_shape, what routing knows of a call's prompt: the parts that
// other calls may share, and the token counts.
#ifndef LINKS_PROMPT_H_
#define LINKS_PROMPT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace anvilloom {

// A prompt up to the end of one of its parts. An engine that keeps it reads
// only what follows.
struct prompt_prefix {
  // Of the model and all parts so far.
  std::uint64_t hash = 0;
  // Tokens of all parts so far.
  std::uint32_t tokens = 0;
};

struct prompt_shape {
  // From the shortest prefix to the whole prompt; empty for plain calls.
  std::vector<prompt_prefix> prefixes;
  std::uint32_t prompt_tokens = 0;
  // Most tokens that the answer may have.
  std::uint32_t answer_tokens = 0;
};

}  // namespace anvilloom

#endif  // LINKS_PROMPT_H_
