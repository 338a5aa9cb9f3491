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

// How long a finished stream is kept for a caller that reconnects.
constexpr duration kKeepFinished = std::chrono::seconds(30);
// Pause when no upstream takes the stream, or when the retry budget is spent;
// doubles up to the longest, so that an outage of a minute costs a stream about
// fifteen attempts.
constexpr duration kFirstPause = std::chrono::milliseconds(20);
constexpr duration kLongestPause = std::chrono::seconds(8);
// Longest pause while no upstream is eligible: nothing is sent meanwhile, so
// that asking again soon costs no upstream anything.
constexpr duration kLongestIdlePause = std::chrono::milliseconds(500);
// How often a stream that may end before the reclaim is planned again, since
// it may turn out slower than expected.
constexpr duration kReplanInterval = std::chrono::milliseconds(100);
// How often a stream that waits for another one's export is planned again. The
// upstream's network is idle until then, and a short export takes 30 ms.
constexpr duration kExportWait = std::chrono::milliseconds(5);

// Drives one stream over its attempts.
class stream_driver {
 public:
  stream_driver(worker& self, std::shared_ptr<stream_session> session)
      : self_(self), session_(std::move(session)) {}

  awaitable<void> Run() {
    self_.process().retries.Request(RetryPermille(self_.process()));
    while (session_->phase() == stream_phase::kRunning) {
      if (Late()) {
        Fail(refusal_code::kDeadlineExceeded);
      } else if (!attempt_) {
        co_await BeginAttempt();
      } else if (attempt_->end() != attempt_end::kRunning) {
        TakeEnd();
      } else if (MustLeave()) {
        co_await Leave();
      } else {
        co_await session_->AwaitWake(session_->order().answer_by);
      }
    }
    if (attempt_) {
      attempt_->Abandon();
    }
  }

 private:
  const stream_order& order() const { return session_->order(); }
  time_point Now() const { return self_.process().clock.Now(); }
  bool Late() const { return order().answer_by.Expired(Now()); }

  bool MustLeave() const {
    return self_.process().settings.reclaim_plan &&
           attempt_->path()->condition() == link_condition::kLeaving;
  }

  awaitable<void> BeginAttempt() {
    const bool paused = std::exchange(must_pause_, false);
    if (paused) {
      co_await Pause(kLongestPause);
      if (Late()) {
        co_return;
      }
    }
    auto chosen = ChooseUpstream(self_.process(), *session_, excluded_);
    if (!chosen && paused && !excluded_.empty()) {
      // The pause was long enough to try an upstream that failed before.
      excluded_.clear();
      chosen = ChooseUpstream(self_.process(), *session_, excluded_);
    }
    if (chosen) {
      StartAt(std::move(*chosen), {});
      co_return;
    }
    if (!HasUpstreams(self_.process(), *session_)) {
      Fail(refusal_code::kNoUpstream);
      co_return;
    }
    // Every upstream has failed this stream, is leaving or is quarantined. An
    // accepted stream waits for one rather than fail.
    excluded_.clear();
    co_await Pause(kLongestIdlePause);
  }

  // Waits, longer each time, but not past the deadline of the answer.
  awaitable<void> Pause(duration longest) {
    const deadline wake = deadline::After(Now(), std::min(pause_, longest));
    pause_ = std::min(pause_ * 2, kLongestPause);
    while (!wake.Expired(Now()) && !Late()) {
      co_await session_->AwaitWake(wake.Earlier(order().answer_by));
    }
  }

  void StartAt(chosen_upstream chosen, std::string cache_handle) {
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

  // Ends the current attempt and counts what it recomputed.
  std::shared_ptr<stream_attempt> EndAttempt() {
    self_.metrics().recomputed_tokens += attempt_->recomputed_tokens();
    return std::exchange(attempt_, nullptr);
  }

  void TakeEnd() {
    const std::shared_ptr<stream_attempt> ended = EndAttempt();
    link& path = *ended->path();
    sent_ = sent_ || ended->end() != attempt_end::kNotSent;
    switch (ended->end()) {
      case attempt_end::kComplete:
        path.Succeeded();
        path.RecordGoodAnswer();
        ++self_.metrics().completed;
        session_->Complete();
        return;
      case attempt_end::kRejected:
        Fail(refusal_code::kUpstreamFailed);
        return;
      case attempt_end::kLeaving:
        path.SetLeaving(leaving_source::kRefusal, true);
        break;
      case attempt_end::kBadAnswer:
        path.RecordBadAnswer();
        break;
      case attempt_end::kStalled:
        ++self_.metrics().stalled_attempts;
        path.Failed();
        break;
      case attempt_end::kRefused:
        break;
      default:
        path.Failed();
        break;
    }
    excluded_.push_back(ended->path());
    if (ended->made_progress()) {
      // The stream got further: the next attempt continues it, and is not the
      // repeat of one that gave nothing.
      pause_ = kFirstPause;
    } else {
      must_pause_ = !self_.process().retries.Take();
    }
    ++self_.metrics().retries;
    Log(log_level::kWarning, log_event::kUpstreamFailed,
        {{"stream", order().stream_id},
         {"upstream", std::string(path.upstream_name())},
         {"tokens", std::to_string(session_->tokens())}});
  }

  // Does what the reclaim plan says for a stream on a leaving upstream.
  awaitable<void> Leave() {
    auto planned = ChooseMove(self_.process(), *session_, *attempt_->path(),
                              excluded_, may_export_);
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
      // The place at the target is for others until its turn comes.
      planned.reset();
      co_await AwaitReplan(kExportWait);
    }
  }

  // Moves the stream with its KV cache, after TryBeginExport(). `planned` must
  // outlive the call.
  awaitable<void> ExportTo(planned_move& planned) {
    const deadline until =
        attempt_->path()->reclaim_at().Earlier(order().answer_by);
    // Copied: the session's version changes if the attempt's does.
    const std::string version(session_->model_version());
    const std::shared_ptr<link> source = attempt_->path();
    const std::uint32_t tokens = CacheTokens();
    const time_point begun = Now();
    auto moved = co_await MoveCache(self_.client(), attempt_->address(),
                                    planned.target->address, attempt_->id(),
                                    version, until);
    source->EndExport(tokens, Now() - begun, moved.has_value());
    if (attempt_->end() != attempt_end::kRunning) {
      co_return;  // It ended or broke while the cache travelled.
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

  // Tokens whose KV cache the stream has.
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
    const std::shared_ptr<stream_attempt> left = EndAttempt();
    left->Abandon();
    sent_ = true;
    Log(log_level::kInfo, log_event::kStreamMoved,
        {{"stream", order().stream_id},
         {"from", std::string(left->path()->upstream_name())},
         {"to", std::string(planned.target->path->upstream_name())},
         {"by", handle.empty() ? "prefill" : "export"},
         {"tokens", std::to_string(session_->tokens())}});
    StartAt(std::move(*planned.target), std::move(handle));
  }

  void Fail(refusal_code code) {
    // "Not run" may be said only if nothing was sent.
    const outcome ran =
        sent_ || attempt_ ? outcome::kUnknown : outcome::kNotRun;
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
  shared_links excluded_;
  duration pause_ = kFirstPause;
  bool must_pause_ = false;
  bool may_export_ = true;
  bool sent_ = false;
};

}  // namespace

awaitable<void> RunStream(worker& self,
                          std::shared_ptr<stream_session> session) {
  stream_driver driver(self, session);
  co_await driver.Run();
  co_await Pause(kKeepFinished);
  self.RemoveStream(session->order().stream_id);
}

}  // namespace anvilloom
