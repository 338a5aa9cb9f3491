// Defines the chunks of an answer, as an engine would send them, for tests and
// lessons about answer_check.
#ifndef TEST_SUPPORT_ANSWER_CHUNKS_H_
#define TEST_SUPPORT_ANSWER_CHUNKS_H_

#include <cstdint>
#include <string_view>

#include "links/answer_check.h"

namespace anvilloom {

// One token of an answer. `request_id` and `text` must outlive the chunk.
inline answer_chunk TokenChunk(std::string_view request_id,
                               std::uint32_t index,
                               std::string_view text = "word ") {
  answer_chunk chunk;
  chunk.request_id = request_id;
  chunk.model_version = "v1";
  chunk.token_index = index;
  chunk.text = text;
  return chunk;
}

// The end marker of an answer of `tokens` tokens.
inline answer_chunk FinishChunk(std::string_view request_id,
                                std::uint32_t tokens) {
  answer_chunk chunk;
  chunk.request_id = request_id;
  chunk.model_version = "v1";
  chunk.finished = true;
  chunk.reported_tokens = tokens;
  return chunk;
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_ANSWER_CHUNKS_H_
