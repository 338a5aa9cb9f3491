#include "entry/stream_session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "wire/steady_clock.h"

namespace anvilloom {

stream_session::stream_session(const boost::asio::any_io_executor& executor,
                               stream_spec spec)
    : spec_(std::move(spec)),
      prompt_tokens_(EstimatePromptTokens(spec_.request)),
      changed_(executor),
      wake_(executor) {
  changed_.expires_at(std::chrono::steady_clock::time_point::max());
}

std::string_view stream_session::token(std::uint32_t index) const {
  const std::uint32_t begin = index == 0 ? 0 : ends_[index - 1];
  return std::string_view(text_).substr(begin, ends_[index] - begin);
}

void stream_session::Append(std::string_view token) {
  text_ += token;
  ends_.push_back(static_cast<std::uint32_t>(text_.size()));
  Notify();
}

void stream_session::SetModelVersion(std::string_view version) {
  model_version_ = version;
}

void stream_session::Restore(std::string_view text,
                             std::span<const std::uint32_t> ends,
                             std::uint32_t transfer) {
  text_ = text;
  ends_.assign(ends.begin(), ends.end());
  transfer_ = transfer;
}

void stream_session::Freeze() {
  frozen_at_ = tokens();
}

void stream_session::Unfreeze() {
  frozen_at_.reset();
  Notify();
}

void stream_session::ReleaseRequest() {
  spec_.request.messages = std::string();
  memory_.Shrink(0);
}

void stream_session::HandOver(std::string_view holder_address) {
  if (phase_ != stream_phase::kRunning && phase_ != stream_phase::kHandedOver) {
    return;
  }
  holder_ = holder_address;
  phase_ = stream_phase::kHandedOver;
  Notify();
  WakeDriver();
}

void stream_session::Complete() {
  if (phase_ != stream_phase::kRunning) {
    return;
  }
  frozen_at_.reset();
  phase_ = stream_phase::kComplete;
  Notify();
}

void stream_session::Fail(const refusal& reason) {
  if (phase_ != stream_phase::kRunning) {
    return;
  }
  frozen_at_.reset();
  phase_ = stream_phase::kFailed;
  failure_ = reason;
  Notify();
}

awaitable<void> stream_session::AwaitChange() {
  co_await changed_.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
}

awaitable<void> stream_session::AwaitWake(deadline until) {
  wake_.expires_at(ToSteady(until));
  co_await wake_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void stream_session::WakeDriver() {
  wake_.cancel();
}

void stream_session::Notify() {
  changed_.cancel();
}

}  // namespace anvilloom
