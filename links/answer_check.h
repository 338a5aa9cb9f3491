// Defines answer_check, which follows the chunks of one streamed answer and
// decides whether they belong to the request and whether the answer is
// complete.
#ifndef LINKS_ANSWER_CHECK_H_
#define LINKS_ANSWER_CHECK_H_

#include <concepts>
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
  kGap,            // An index was skipped: the answer can't be complete.
  kWrongRequest,   // The chunk answers another request.
  kVersionChange,  // The model version changed in the middle of the answer.
  kAfterFinish,    // A token after the end of the answer.
};

// Selects the checks at compile time, so that tests can disable each one and
// show that it is needed.
template <typename Policy>
concept answer_policy = requires {
  { Policy::kRequestId } -> std::convertible_to<bool>;
  { Policy::kTokenIndex } -> std::convertible_to<bool>;
  { Policy::kFinishReason } -> std::convertible_to<bool>;
  { Policy::kUsage } -> std::convertible_to<bool>;
  { Policy::kModelVersion } -> std::convertible_to<bool>;
};

// Enables every check. Used in production.
struct full_answer_policy {
  // A chunk must carry the id of the request.
  static constexpr bool kRequestId = true;
  // A token must have the index after the one before it.
  static constexpr bool kTokenIndex = true;
  // An answer is complete only with a finish reason, and has no token after it.
  static constexpr bool kFinishReason = true;
  // An answer is complete only if its token count matches the reported usage.
  static constexpr bool kUsage = true;
  // All chunks of an answer must come from one model version.
  static constexpr bool kModelVersion = true;
};

// Tracks one attempt at a stream. Not thread-safe.
template <answer_policy Policy>
class basic_answer_check {
 public:
  // `first_index` is the index of the first expected token. It is above zero
  // when an attempt resumes a stream.
  basic_answer_check(std::string_view request_id, std::uint32_t first_index)
      : request_id_(request_id), next_index_(first_index) {}

  chunk_verdict Observe(const answer_chunk& chunk);

  // Whether the answer has ended and all of its tokens have arrived.
  bool complete() const;
  bool finished() const { return finished_; }
  std::uint32_t next_index() const { return next_index_; }
  std::string_view model_version() const { return model_version_; }

 private:
  // Checks the token index of a chunk.
  chunk_verdict ObserveToken(std::uint32_t index);

  std::string request_id_;
  std::string model_version_;
  std::uint32_t next_index_;
  bool finished_ = false;
  std::optional<std::uint32_t> reported_tokens_;
};

using answer_check = basic_answer_check<full_answer_policy>;

template <answer_policy Policy>
chunk_verdict basic_answer_check<Policy>::Observe(const answer_chunk& chunk) {
  if (Policy::kRequestId && chunk.request_id != request_id_) {
    return chunk_verdict::kWrongRequest;
  }
  if (!chunk.model_version.empty()) {
    if (model_version_.empty()) {
      model_version_ = chunk.model_version;
    } else if (Policy::kModelVersion && model_version_ != chunk.model_version) {
      return chunk_verdict::kVersionChange;
    }
  }
  if (chunk.token_index) {
    const chunk_verdict verdict = ObserveToken(*chunk.token_index);
    if (verdict != chunk_verdict::kAccept) {
      return verdict;
    }
  }
  if (chunk.finished) {
    finished_ = true;
  }
  if (chunk.reported_tokens) {
    reported_tokens_ = chunk.reported_tokens;
  }
  return chunk_verdict::kAccept;
}

template <answer_policy Policy>
chunk_verdict basic_answer_check<Policy>::ObserveToken(std::uint32_t index) {
  if (Policy::kTokenIndex && index < next_index_) {
    return chunk_verdict::kDuplicate;
  }
  if (Policy::kFinishReason && finished_) {
    return chunk_verdict::kAfterFinish;
  }
  if (Policy::kTokenIndex && index > next_index_) {
    return chunk_verdict::kGap;
  }
  ++next_index_;
  return chunk_verdict::kAccept;
}

template <answer_policy Policy>
bool basic_answer_check<Policy>::complete() const {
  return (!Policy::kFinishReason || finished_) &&
         (!Policy::kUsage || reported_tokens_ == next_index_);
}

}  // namespace anvilloom

#endif  // LINKS_ANSWER_CHECK_H_
