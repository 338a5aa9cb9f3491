// Defines stream_session, the state of one accepted model request: the request,
// the tokens generated so far, and how it ended.
#ifndef ENTRY_STREAM_SESSION_H_
#define ENTRY_STREAM_SESSION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/time.h"
#include "contracts/outcome.h"
#include "contracts/service.h"
#include "wire/chat_codec.h"
#include "wire/memory_account.h"
#include "wire/transfer.h"

namespace anvilloom {

enum class stream_phase {
  kRunning,
  kComplete,
  kFailed,
  kHandedOver,  // Another entry instance generates the rest.
};

// The request and the limits with which a stream was accepted.
struct stream_spec {
  std::string stream_id;
  std::string request_id;
  std::string workspace;
  chat_request request;
  service target;
  time_point accepted_at;
  deadline first_token_by = deadline::Never();
  deadline answer_by = deadline::Never();
};

// Used on one thread. The producer appends tokens; readers, of which there may
// be several after a reconnect, wait for changes.
class stream_session {
 public:
  stream_session(const boost::asio::any_io_executor& executor,
                 stream_spec spec);

  const stream_spec& order() const { return spec_; }
  // Estimated; stays known after ReleaseRequest().
  std::uint32_t prompt_tokens() const { return prompt_tokens_; }
  stream_phase phase() const { return phase_; }
  std::uint32_t tokens() const {
    return static_cast<std::uint32_t>(ends_.size());
  }
  std::string_view text() const { return text_; }
  // End offset of each token in text().
  std::span<const std::uint32_t> ends() const { return ends_; }
  std::string_view token(std::uint32_t index) const;
  std::string_view model_version() const { return model_version_; }
  // Number of tokens that callers may see. Smaller than tokens() during a
  // handover: the receiver continues from here and may generate other tokens
  // than this instance does meanwhile.
  std::uint32_t visible_tokens() const { return frozen_at_.value_or(tokens()); }
  // Whether a handover is in progress or was refused less than one retry delay
  // ago.
  bool handover_pending() const { return handover_pending_; }
  void SetHandoverPending(bool pending) { handover_pending_ = pending; }
  // Whether the instance that took the stream over has confirmed later that it
  // holds it.
  bool holder_confirmed() const { return holder_confirmed_; }
  void SetHolderConfirmed() { holder_confirmed_ = true; }
  // Whether the end of the answer was written to a caller's connection.
  bool fetched() const { return fetched_; }
  void SetFetched() { fetched_ = true; }
  // Number of instances to which the stream was offered so far, over all its
  // holders.
  std::uint32_t transfer() const { return transfer_; }
  // HTTP address of the new holder. Set when the phase is kHandedOver.
  std::string_view holder() const { return holder_; }
  // Set when the phase is kFailed.
  const std::optional<refusal>& failure() const { return failure_; }

  void Append(std::string_view token);
  void SetModelVersion(std::string_view version);
  // Restores a stream that another instance began. `ends` holds the end offset
  // of each token in `text`.
  void Restore(std::string_view text,
               std::span<const std::uint32_t> ends,
               std::uint32_t transfer);
  // Withholds new tokens from callers until the handover is decided.
  void Freeze();
  void Unfreeze();
  // Increments and returns transfer(), for an offer to one more instance.
  std::uint32_t NextTransfer() { return ++transfer_; }
  // Ends the stream at this instance, or replaces the holder if the first one
  // is lost. Does nothing if the stream has ended otherwise.
  void HandOver(std::string_view holder_address);
  // End the stream at this instance. Do nothing unless it is running.
  void Complete();
  void Fail(const refusal& reason);

  // Keeps the memory that the request takes until ReleaseRequest().
  void HoldMemory(request_share memory) { memory_ = std::move(memory); }
  // Frees the messages of the request, which only a stream that runs needs.
  void ReleaseRequest();

  // Waits until a token is appended, the phase changes or withheld tokens
  // become visible.
  awaitable<void> AwaitChange();

  // Suspends the driver of the stream until WakeDriver() or `until`, whichever
  // is first.
  awaitable<void> AwaitWake(deadline until);
  void WakeDriver();

 private:
  void Notify();

  stream_spec spec_;
  std::uint32_t prompt_tokens_;
  request_share memory_;
  stream_phase phase_ = stream_phase::kRunning;
  std::string text_;
  // End offset of each token in text_.
  std::vector<std::uint32_t> ends_;
  std::optional<std::uint32_t> frozen_at_;
  bool handover_pending_ = false;
  bool holder_confirmed_ = false;
  bool fetched_ = false;
  std::uint32_t transfer_ = 0;
  std::string holder_;
  std::string model_version_;
  std::optional<refusal> failure_;
  // Never expires; cancelled to wake the readers.
  boost::asio::steady_timer changed_;
  // Cancelled to wake the driver.
  boost::asio::steady_timer wake_;
};

}  // namespace anvilloom

#endif  // ENTRY_STREAM_SESSION_H_
