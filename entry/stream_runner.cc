#include "entry/stream_runner.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "common/log.h"
#include "entry/cache_move.h"
#include "entry/chosen_upstream.h"
#include "entry/stream_attempt.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

// Time for which a finished stream is kept for a caller that reconnects.
constexpr duration kFinishedStreamRetention = std::chrono::seconds(30);
// Delay when no upstream accepts the stream or the retry budget is spent. It
// doubles up to the maximum, so that an outage of a minute costs a stream about
// fifteen attempts.
constexpr duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr duration kMaxBackoff = std::chrono::seconds(8);
// Maximum delay while no upstream is eligible. Nothing is sent meanwhile, so
// checking again soon costs the upstreams nothing.
constexpr duration kMaxIdleDelay = std::chrono::milliseconds(500);
// Interval at which the move is planned again for a stream that may end before
// the reclaim, since it may turn out slower than expected.
constexpr duration kReplanInterval = std::chrono::milliseconds(100);
// Interval at which a stream that waits for another stream's export is planned
// again. The upstream's network is idle from the end of that export until the
// next plan, so the interval is small compared with a short export, which takes
// 30 ms.
constexpr duration kExportReplanInterval = std::chrono::milliseconds(5);

// Runs the attempts of one stream, one at a time.
class stream_driver {
 public:
  stream_driver(worker& self, std::shared_ptr<stream_session> session)
      : self_(self), session_(std::move(session)) {}

  awaitable<void> Run() {
    self_.process().retries.Request(RetryPermille(self_.process()));
    while (session_->phase() == stream_phase::kRunning) {
      if (DeadlineExpired()) {
        Fail(refusal_code::kDeadlineExceeded);
      } else if (!attempt_) {
        co_await SelectAndStart();
      } else if (attempt_->end() != stream_attempt_end::kRunning) {
        HandleAttemptEnd();
      } else if (MustMove()) {
        co_await MoveOrReplan();
      } else {
        co_await session_->AwaitWake(session_->order().answer_by);
      }
    }
    if (attempt_) {
      attempt_->Abandon();
    }
  }

 private:
  const stream_spec& order() const { return session_->order(); }
  time_point Now() const { return self_.process().clock.Now(); }
  bool DeadlineExpired() const { return order().answer_by.Expired(Now()); }

  bool MustMove() const {
    return self_.process().settings.reclaim_plan &&
           attempt_->path()->condition() == link_condition::kLeaving;
  }

  awaitable<void> SelectAndStart() {
    const bool backed_off = std::exchange(must_back_off_, false);
    if (backed_off) {
      co_await BackOff(kMaxBackoff);
      if (DeadlineExpired()) {
        co_return;
      }
    }
    auto chosen = ChooseUpstream(self_.process(), *session_, excluded_links_);
    if (!chosen && backed_off && !excluded_links_.empty()) {
      // After the delay, upstreams that failed before may be tried again.
      excluded_links_.clear();
      chosen = ChooseUpstream(self_.process(), *session_, excluded_links_);
    }
    if (chosen) {
      StartAttempt(std::move(*chosen), {});
      co_return;
    }
    if (!HasUpstreams(self_.process(), *session_)) {
      Fail(refusal_code::kNoUpstream);
      co_return;
    }
    // Every upstream has failed this stream, is leaving or is quarantined. An
    // accepted stream waits for one instead of failing.
    excluded_links_.clear();
    co_await BackOff(kMaxIdleDelay);
  }

  // Waits with exponential backoff, but not past the deadline of the answer.
  awaitable<void> BackOff(duration max_delay) {
    const deadline wake = deadline::After(Now(), std::min(backoff_, max_delay));
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
    while (!wake.Expired(Now()) && !DeadlineExpired()) {
      co_await session_->AwaitWake(wake.Earlier(order().answer_by));
    }
  }

  void StartAttempt(chosen_upstream chosen, std::string cache_handle) {
    ++attempts_;
    may_export_ = true;
    attempt_ = std::make_shared<stream_attempt>(self_, session_,
                                                std::move(chosen), attempts_);
    if (attempts_ > 1 && session_->tokens() > 0) {
      Log(log_level::kInfo, log_event::kStreamResumed,
          {{"stream", order().stream_id},
           {"upstream", std::string(attempt_->path()->upstream_name())},
           {"tokens", std::to_string(session_->tokens())}});
    }
    attempt_->Start(std::move(cache_handle));
  }

  // Detaches the current attempt and counts the tokens that it recomputed.
  std::shared_ptr<stream_attempt> EndAttempt() {
    self_.metrics().recomputed_tokens += attempt_->recomputed_tokens();
    return std::exchange(attempt_, nullptr);
  }

  void HandleAttemptEnd() {
    const std::shared_ptr<stream_attempt> ended = EndAttempt();
    link& path = *ended->path();
    may_have_sent_ =
        may_have_sent_ || ended->end() != stream_attempt_end::kNotSent;
    switch (ended->end()) {
      case stream_attempt_end::kComplete:
        path.RecordSuccess();
        path.RecordGoodAnswer();
        ++self_.metrics().completed;
        session_->Complete();
        return;
      case stream_attempt_end::kInvalidRequest:
        Fail(refusal_code::kUpstreamFailed);
        return;
      case stream_attempt_end::kLeaving:
        path.SetLeaving(leaving_source::kRefusal, true);
        break;
      case stream_attempt_end::kBadAnswer:
        path.RecordBadAnswer();
        break;
      case stream_attempt_end::kStalled:
        ++self_.metrics().stalled_attempts;
        path.RecordFailure();
        break;
      case stream_attempt_end::kRefused:
        break;
      default:
        path.RecordFailure();
        break;
    }
    excluded_links_.push_back(ended->path());
    if (ended->made_progress()) {
      // The attempt made progress, so the next one continues the stream and is
      // not charged to the retry budget.
      backoff_ = kInitialBackoff;
    } else {
      must_back_off_ = !self_.process().retries.TryTake();
    }
    ++self_.metrics().retries;
    Log(log_level::kWarning, log_event::kUpstreamFailed,
        {{"stream", order().stream_id},
         {"upstream", std::string(path.upstream_name())},
         {"tokens", std::to_string(session_->tokens())}});
  }

  // Carries out the reclaim plan for a stream on a leaving upstream.
  awaitable<void> MoveOrReplan() {
    auto planned = ChooseMove(self_.process(), *session_, *attempt_->path(),
                              excluded_links_, may_export_);
    if (!planned || planned->choice.action == reclaim_action::kRunToEnd) {
      co_await AwaitReplan(kReplanInterval);
      co_return;
    }
    if (planned->choice.action == reclaim_action::kReprefill) {
      MoveTo(*planned, {});
    } else if (planned->choice.action == reclaim_action::kExport &&
               attempt_->path()->TryBeginExport(CacheTokens(), Now())) {
      co_await ExportTo(*planned);
    } else {
      // Frees the slot at the target for other streams until this one may
      // export.
      planned.reset();
      co_await AwaitReplan(kExportReplanInterval);
    }
  }

  // Moves the stream with its KV cache, after TryBeginExport(). `planned` must
  // outlive the call.
  awaitable<void> ExportTo(planned_move& planned) {
    const deadline until =
        attempt_->path()->reclaim_at().Earlier(order().answer_by);
    // Copied, because a chunk of the current attempt may change the session's
    // version.
    const std::string version(session_->model_version());
    const std::shared_ptr<link> source = attempt_->path();
    const std::uint32_t tokens = CacheTokens();
    const time_point begun = Now();
    auto moved = co_await MoveCache(self_.client(), attempt_->address(),
                                    planned.target->address, attempt_->id(),
                                    version, until);
    source->EndExport(tokens, Now() - begun, moved.has_value());
    if (attempt_->end() != stream_attempt_end::kRunning) {
      co_return;  // The attempt ended during the transfer.
    }
    if (!moved) {
      may_export_ = false;
      Log(log_level::kWarning, log_event::kCacheMoveFailed,
          {{"stream", order().stream_id},
           {"upstream", std::string(attempt_->path()->upstream_name())}});
      co_return;
    }
    MoveTo(planned, std::move(*moved));
  }

  // Tokens in the stream's KV cache.
  std::uint32_t CacheTokens() const {
    return EstimatePromptTokens(order().request) + session_->tokens();
  }

  awaitable<void> AwaitReplan(duration wait) {
    co_await session_->AwaitWake(
        deadline::After(Now(), wait).Earlier(order().answer_by));
  }

  void MoveTo(planned_move& planned, std::string handle) {
    ++(handle.empty() ? self_.metrics().moved_by_prefill
                      : self_.metrics().moved_by_export);
    const std::shared_ptr<stream_attempt> previous = EndAttempt();
    previous->Abandon();
    may_have_sent_ = true;
    Log(log_level::kInfo, log_event::kStreamMoved,
        {{"stream", order().stream_id},
         {"from", std::string(previous->path()->upstream_name())},
         {"to", std::string(planned.target->path->upstream_name())},
         {"by", handle.empty() ? "prefill" : "export"},
         {"tokens", std::to_string(session_->tokens())}});
    StartAttempt(std::move(*planned.target), std::move(handle));
  }

  void Fail(refusal_code code) {
    // The outcome is "not run" only if nothing was sent.
    const outcome ran =
        may_have_sent_ || attempt_ ? outcome::kUnknown : outcome::kNotRun;
    ++self_.metrics().failed;
    Log(log_level::kWarning, log_event::kStreamFailed,
        {{"stream", order().stream_id},
         {"code", std::string(Name(code))},
         {"tokens", std::to_string(session_->tokens())}});
    session_->Fail({code, ran, std::nullopt});
  }

  worker& self_;
  std::shared_ptr<stream_session> session_;
  std::shared_ptr<stream_attempt> attempt_;
  std::uint32_t attempts_ = 0;
  // Upstreams that failed the stream since it last waited.
  shared_links excluded_links_;
  duration backoff_ = kInitialBackoff;
  bool must_back_off_ = false;
  bool may_export_ = true;
  bool may_have_sent_ = false;
};

}  // namespace

awaitable<void> RunStream(worker& self,
                          std::shared_ptr<stream_session> session) {
  stream_driver driver(self, session);
  co_await driver.Run();
  if (session->phase() != stream_phase::kHandedOver) {
    // Another instance may be offered a stream that was handed over.
    session->ReleaseRequest();
  }
  // Without a token, the caller has not been told the id of the stream, unless
  // it comes from another instance.
  const bool unknown_to_caller = session->phase() == stream_phase::kFailed &&
                                 session->tokens() == 0 &&
                                 session->transfer() == 0;
  if (!unknown_to_caller) {
    co_await Pause(kFinishedStreamRetention);
  }
  self.RemoveStream(session->order().stream_id);
}

}  // namespace anvilloom
