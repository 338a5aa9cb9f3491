// Defines answer_check, which follows the chunks of one streamed answer and
// decides whether they belong to the request and whether the answer is whole.
#ifndef LINKS_ANSWER_CHECK_H_
#define LINKS_ANSWER_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// One chunk of a streamed answer, decoded. Views point into the decoder.
struct answer_chunk {
  std::string_view request_id;
  std::string_view model_version;
  std::string_view text;
  // Position of the token in the whole answer, counted from zero.
  std::optional<std::uint32_t> token_index;
  // Set on the last chunk.
  bool finished = false;
  // Tokens of the whole answer, from the usage of the last chunk.
  std::optional<std::uint32_t> reported_tokens;
  // Prompt tokens that the engine computed rather than found in its cache.
  std::optional<std::uint32_t> prefilled_tokens;
};

// What to do with a chunk.
enum class chunk_verdict {
  kAccept,
  kDuplicate,      // An index that was already accepted; drop it.
  kGap,            // An index was skipped: the answer can't be whole.
  kWrongRequest,   // The chunk answers another request.
  kVersionChange,  // The engine changed its model version in mid-answer.
  kAfterFinish,    // A token after the end of the answer.
};

// Follows one attempt at a stream. Not thread-safe.
class answer_check {
 public:
  // `first_index` is the index of the first token expected, above zero when an
  // attempt resumes a stream.
  answer_check(std::string_view request_id, std::uint32_t first_index);

  chunk_verdict Observe(const answer_chunk& chunk);

  // Whether the answer has ended and every token of it arrived.
  bool complete() const;
  bool finished() const { return finished_; }
  std::uint32_t next_index() const { return next_index_; }
  std::string_view model_version() const { return model_version_; }

 private:
  std::string request_id_;
  std::string model_version_;
  std::uint32_t next_index_;
  bool finished_ = false;
  std::optional<std::uint32_t> reported_tokens_;
};

}  // namespace anvilloom

#endif  // LINKS_ANSWER_CHECK_H_
