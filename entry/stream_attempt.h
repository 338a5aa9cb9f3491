// Defines stream_attempt, one attempt to generate the rest of a stream at one
// upstream.
#ifndef ENTRY_STREAM_ATTEMPT_H_
#define ENTRY_STREAM_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "entry/chosen_upstream.h"
#include "entry/stream_session.h"
#include "entry/worker.h"
#include "links/answer_check.h"
#include "links/stall_limits.h"
#include "wire/chat_codec.h"
#include "wire/http_client.h"
#include "wire/line_splitter.h"

namespace anvilloom {

// How an attempt ended.
enum class stream_attempt_end {
  kRunning,
  kComplete,
  kNotSent,         // No byte reached the upstream.
  kInvalidRequest,  // The upstream refuses the request as invalid; others would
                    // do the same.
  kRefused,         // The upstream has no capacity or cannot resume this text.
  kLeaving,         // The upstream refuses new work because it is leaving.
  kIncomplete,      // The answer ended early or never came.
  kStalled,    // The upstream was silent for longer than the contract allows.
  kBadAnswer,  // The answer was malformed or belongs to another request.
};

// Used on one thread. Reads on its own coroutine, so that its driver can move
// the stream while tokens still arrive; wakes the driver when it ends.
class stream_attempt : public std::enable_shared_from_this<stream_attempt> {
 public:
  // `number` counts the attempts at the stream from 1. Each attempt has its own
  // id, so that a late answer to an earlier attempt is recognized.
  stream_attempt(worker& self,
                 std::shared_ptr<stream_session> session,
                 chosen_upstream chosen,
                 std::uint32_t number);

  // Sends the request. `cache_handle` names an imported KV cache or is empty.
  void Start(std::string cache_handle);
  // Ends the attempt without a result. Tokens that arrive later are dropped,
  // and the closed connection tells the upstream to stop.
  void Abandon();

  stream_attempt_end end() const { return end_; }
  std::string_view id() const { return id_; }
  const std::string& address() const { return chosen_.address; }
  const std::shared_ptr<link>& path() const { return chosen_.path; }
  // Whether the attempt has delivered a token.
  bool made_progress() const { return first_token_seen_; }
  // Tokens that this attempt computed although an earlier attempt had computed
  // them already.
  std::uint32_t recomputed_tokens() const;

 private:
  awaitable<void> Run(std::shared_ptr<stream_attempt> keep_alive,
                      std::string cache_handle);
  awaitable<stream_attempt_end> ReadAnswer(std::string cache_handle);
  stream_attempt_end EndForStatus() const;
  // Returns how a failed transfer ends the attempt.
  stream_attempt_end EndForFailure(const transfer_failure& failure) const;
  // Processes the next bytes of the answer. Returns false if the answer is
  // unusable.
  bool ConsumeBytes(std::string_view bytes);
  bool ConsumeEventData(std::string_view data);
  void AcceptChunk(const answer_chunk& chunk);
  void ObserveTiming();
  // Reports the measured prefill time to the link.
  void ObservePrefill();
  bool RejectAnswer();
  // Time by which the next bytes must arrive before the upstream counts as
  // stalled.
  deadline StallDeadline() const;
  void Finish(stream_attempt_end end);

  worker& self_;
  std::shared_ptr<stream_session> session_;
  chosen_upstream chosen_;
  std::uint32_t attempt_number_;
  std::string id_;
  stall_limits stall_limits_;
  stream_attempt_end end_ = stream_attempt_end::kRunning;
  bool abandoned_ = false;
  std::unique_ptr<http_response_stream> answer_;
  line_splitter lines_;
  chunk_decoder decoder_;
  answer_check check_;
  time_point started_at_;
  time_point last_token_at_;
  bool first_token_seen_ = false;
  bool end_marker_seen_ = false;
  // Tokens that the upstream had to compute before the first new one: an
  // estimate until the last chunk reports the usage.
  std::uint32_t prefilled_tokens_;
  // Whether requests were queued at the upstream when the attempt began. The
  // time to its first token then includes queueing and does not measure the
  // prefill.
  bool upstream_queued_;
  duration first_token_latency_{0};
};

}  // namespace anvilloom

#endif  // ENTRY_STREAM_ATTEMPT_H_
