#include "links/answer_check.h"

namespace anvilloom {

answer_check::answer_check(std::string_view request_id,
                           std::uint32_t first_index)
    : request_id_(request_id), next_index_(first_index) {}

chunk_verdict answer_check::Observe(const answer_chunk& chunk) {
  if (chunk.request_id != request_id_) {
    return chunk_verdict::kWrongRequest;
  }
  if (!chunk.model_version.empty()) {
    if (model_version_.empty()) {
      model_version_ = chunk.model_version;
    } else if (model_version_ != chunk.model_version) {
      return chunk_verdict::kVersionChange;
    }
  }
  if (chunk.token_index) {
    if (*chunk.token_index < next_index_) {
      return chunk_verdict::kDuplicate;
    }
    if (finished_) {
      return chunk_verdict::kAfterFinish;
    }
    if (*chunk.token_index > next_index_) {
      return chunk_verdict::kGap;
    }
    ++next_index_;
  }
  if (chunk.finished) {
    finished_ = true;
  }
  if (chunk.reported_tokens) {
    reported_tokens_ = chunk.reported_tokens;
  }
  return chunk_verdict::kAccept;
}

bool answer_check::complete() const {
  return finished_ && reported_tokens_ == next_index_;
}

}  // namespace anvilloom
