// Defines stream_session, one accepted model request: what was asked, what has
// been generated so far, and how it ended.
#ifndef ENTRY_STREAM_SESSION_H_
#define ENTRY_STREAM_SESSION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "contracts/outcome.h"
#include "contracts/service.h"
#include "wire/chat_codec.h"
#include "wire/transfer.h"

namespace anvilloom {

enum class stream_phase {
  kRunning,
  kComplete,
  kFailed,
  kHandedOver,  // Another entry instance generates the rest.
};

// What a stream was accepted with.
struct stream_order {
  std::string stream_id;
  std::string request_id;
  std::string workspace;
  chat_request request;
  service target;
  time_point accepted_at;
  deadline first_token_by = deadline::Never();
  deadline answer_by = deadline::Never();
};

// Belongs to one thread. The producer appends tokens; readers, of which there
// may be several after a reconnect, wait for changes.
class stream_session {
 public:
  stream_session(const boost::asio::any_io_executor& executor,
                 stream_order order);

  const stream_order& order() const { return order_; }
  stream_phase phase() const { return phase_; }
  std::uint32_t tokens() const {
    return static_cast<std::uint32_t>(ends_.size());
  }
  std::string_view text() const { return text_; }
  // The end of each token in text().
  std::span<const std::uint32_t> ends() const { return ends_; }
  std::string_view token(std::uint32_t index) const;
  std::string_view model_version() const { return model_version_; }
  // Tokens that callers may see. Smaller than tokens() while a hand-over is
  // being agreed: the receiver generates on from here, and may give other
  // tokens than this instance does meanwhile.
  std::uint32_t visible_tokens() const { return frozen_at_.value_or(tokens()); }
  // Whether a hand-over is being agreed or was refused just now.
  bool offered() const { return offered_; }
  void SetOffered(bool offered) { offered_ = offered; }
  // Whether the instance that took the stream was seen to hold it afterwards.
  bool confirmed() const { return confirmed_; }
  void SetConfirmed() { confirmed_ = true; }
  // Whether the end of the answer was written to a caller's connection.
  bool fetched() const { return fetched_; }
  void SetFetched() { fetched_ = true; }
  // Number of hand-overs so far.
  std::uint32_t transfer() const { return transfer_; }
  // Where callers reach the holder. Set when the phase is kHandedOver.
  std::string_view holder() const { return holder_; }
  // Set when the phase is kFailed.
  const std::optional<refusal>& failure() const { return failure_; }

  void Append(std::string_view token);
  void SetModelVersion(std::string_view version);
  // Continues a stream that another instance has begun. `ends` holds the end of
  // each token in `text`.
  void Restore(std::string_view text,
               std::span<const std::uint32_t> ends,
               std::uint32_t transfer);
  // Holds new tokens back from callers until the hand-over is decided.
  void Freeze();
  void Unfreeze();
  // Counts one more instance to which the stream is offered.
  std::uint32_t NextTransfer() { return ++transfer_; }
  // Ends the stream here, or names another holder if the first one is lost.
  // Does nothing once the stream has ended by itself.
  void HandOver(std::string_view holder_address);
  // Ends the stream here; does nothing unless it is running.
  void Complete();
  void Fail(const refusal& why);

  // Returns when a token was appended or the phase changed since the call.
  awaitable<void> Changed();

  // Lets the coroutine that drives the stream wait until WakeDriver() or
  // `until`, whichever is first.
  awaitable<void> AwaitWake(deadline until);
  void WakeDriver();

 private:
  void Notify();

  stream_order order_;
  stream_phase phase_ = stream_phase::kRunning;
  std::string text_;
  // End of each token in text_.
  std::vector<std::uint32_t> ends_;
  std::optional<std::uint32_t> frozen_at_;
  bool offered_ = false;
  bool confirmed_ = false;
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
