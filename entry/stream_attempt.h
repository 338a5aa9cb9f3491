// Defines stream_attempt, one try at generating the rest of a stream at one
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
enum class attempt_end {
  kRunning,
  kComplete,
  kNotSent,    // No byte reached the upstream.
  kRejected,   // The upstream refuses the request itself; no other takes it.
  kRefused,    // The upstream has no room or cannot resume this text.
  kLeaving,    // The upstream refuses new work because it is going away.
  kBroken,     // The answer ended early or never came.
  kStalled,    // The upstream was silent for longer than the contract allows.
  kBadAnswer,  // The answer was malformed or belongs to another request.
};

// Belongs to one thread. Reads on its own coroutine, so that its driver can
// move the stream while tokens still arrive; it wakes the driver at its end.
class stream_attempt : public std::enable_shared_from_this<stream_attempt> {
 public:
  // `number` counts the attempts at the stream from 1. Each attempt has its
  // own id, so that a late answer to an earlier one is told apart.
  stream_attempt(worker& self,
                 std::shared_ptr<stream_session> session,
                 chosen_upstream chosen,
                 std::uint32_t number);

  // Sends the request. `cache_handle` names an imported KV cache or is empty.
  void Start(std::string cache_handle);
  // Ends the attempt without a result. Later tokens of it are dropped, and the
  // closed connection tells the upstream to stop.
  void Abandon();

  attempt_end end() const { return end_; }
  std::string_view id() const { return id_; }
  const std::string& address() const { return chosen_.address; }
  const std::shared_ptr<link>& path() const { return chosen_.path; }
  // Whether the attempt delivered a token.
  bool made_progress() const { return first_seen_; }
  // Tokens that this attempt computed although an earlier one had.
  std::uint32_t recomputed_tokens() const;

 private:
  awaitable<void> Run(std::shared_ptr<stream_attempt> keep_alive,
                      std::string cache_handle);
  awaitable<attempt_end> ReadAnswer(std::string cache_handle);
  attempt_end EndForStatus() const;
  // How a failed transfer ended the attempt.
  attempt_end EndForFailure(const transfer_failure& failure) const;
  // Takes the next bytes of the answer. False if the answer is unusable.
  bool Take(std::string_view piece);
  bool TakeData(std::string_view data);
  void Accept(const answer_chunk& chunk);
  void ObserveTiming();
  // Tells the link how fast the upstream computes prompts.
  void ObservePrefill();
  bool Reject();
  // When the silence since the last token has lasted too long.
  deadline StallDeadline() const;
  void Finish(attempt_end end);

  worker& self_;
  std::shared_ptr<stream_session> session_;
  chosen_upstream chosen_;
  std::uint32_t number_;
  std::string id_;
  stall_limits stall_;
  attempt_end end_ = attempt_end::kRunning;
  bool abandoned_ = false;
  std::unique_ptr<http_answer_stream> answer_;
  line_splitter lines_;
  chunk_decoder decoder_;
  answer_check check_;
  time_point started_at_;
  time_point last_token_at_;
  bool first_seen_ = false;
  bool done_ = false;
  // Tokens before the first new one that the upstream had to compute: an
  // estimate until the usage of the last chunk says it.
  std::uint32_t prefilled_;
  // Whether requests waited at the upstream when the attempt began: the time to
  // its first token then says little of the prefill.
  bool queued_;
  duration first_token_latency_{0};
};

}  // namespace anvilloom

#endif  // ENTRY_STREAM_ATTEMPT_H_
