// Defines forwarded_call, which forwards one call to an upstream and its answer
// to the caller, and call_forwarder, the handler that runs it.
#ifndef ENTRY_FORWARDED_CALL_H_
#define ENTRY_FORWARDED_CALL_H_

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "common/log.h"
#include "common/random.h"
#include "entry/call_refusal.h"
#include "entry/gateway_state.h"
#include "entry/inbound_call.h"
#include "entry/rollout_ticket.h"
#include "instances/stop_schedule.h"
#include "links/attempt_policy.h"
#include "links/crash_suspects.h"
#include "links/event_splitter.h"
#include "links/held_calls.h"
#include "links/placement.h"
#include "links/plain_answer.h"
#include "links/pool_call.h"
#include "wire/http_client.h"
#include "wire/pause.h"

namespace anvilloom {

// Number of answers to earlier requests that are skipped on a connection before
// the attempt fails.
inline constexpr int kMaxStaleAnswers = 2;
// A call is not retried with less time left, since the answer could not arrive
// before the deadline.
inline constexpr duration kMinAttemptTime = std::chrono::milliseconds(20);
// Time limit of an attempt at a repeatable call, in thousandths of the latency
// target. An attempt that exceeds it is repeated at another upstream while
// attempts remain.
inline constexpr std::int64_t kRepeatableAttemptTimeoutPermille = 1200;

// An upstream that asks for a pause of this length has to recover. One that is
// only full asks for less.
inline constexpr duration kRecoveryPause = std::chrono::milliseconds(500);

// A longer event is no sound stream. Bounds the memory of a call whose upstream
// sends bytes without end.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
// An upstream that ends within this time after the first event of an answer may
// have been crashed by the prompt.
inline constexpr duration kAnswerBeginning = std::chrono::milliseconds(200);

template <call_codec Codec>
class forwarded_call
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  forwarded_call(gateway_state& state,
                 http_client& client,
                 http_exchange& exchange,
                 held_call_queues& held)
      : state_(state),
        client_(client),
        exchange_(exchange),
        held_(held),
        call_(Codec::DecodeCall(exchange)),
        view_(state.View()),
        arrived_(state.clock.Now()),
        answer_memory_(state.memory.answers()) {}

  ~forwarded_call() { exchange_.UnwatchClient(); }
  forwarded_call(const forwarded_call&) = delete;
  forwarded_call& operator=(const forwarded_call&) = delete;

  // Ends a call that is not answered when the process is about to exit: as not
  // run if it wasn't sent, otherwise as timed out. A stream is broken off. Must
  // be called on the thread of the call.
  void End() {
    ended_ = true;
    answer_by_ = deadline(Now());
    handle_.Cancel();
  }

  awaitable<void> Run() {
    if (const auto refusal = Admit()) {
      co_await Refuse(*refusal);
      co_return;
    }
    exchange_.WatchClient([this] {
      caller_gone_ = true;
      handle_.Cancel();
    });
    co_await Hold();
    if (caller_gone_) {
      co_await Finish(next_step::kAbandon);
      co_return;
    }
    for (;;) {
      auto refusal = SelectUpstream();
      if (!refusal && !TakeTrials()) {
        refusal =
            call_refusal{refusal_reason::kBlockedPart, kNoUpstreamRetryDelay};
      }
      if (refusal) {
        ticket_.Release();
        co_await RefuseWithoutUpstream(*refusal);
        co_return;
      }
      const attempt_end end = co_await RunAttempt();
      const next_step step = DecideNextStep(end);
      LogAttempt(end, step);
      if (step != next_step::kRepeat) {
        co_await Finish(step);
        co_return;
      }
      state_.counters.repeats.fetch_add(1, std::memory_order_relaxed);
      if (streaming_) {
        state_.counters.resumed_streams.fetch_add(1, std::memory_order_relaxed);
      }
    }
  }

 private:
  time_point Now() const { return state_.clock.Now(); }

  // Looks up route, workspace and pool, and charges the call to the workspace's
  // limit.
  std::optional<call_refusal> Admit() {
    if (!view_->manifest) {
      return call_refusal{refusal_reason::kNoManifest, kManifestRetryDelay};
    }
    route_ = view_->manifest->FindRoute(call_.host, call_.path);
    if (route_ == nullptr) {
      return RefuseUnknown(refusal_reason::kNoRoute);
    }
    if (!route_->anonymous && !view_->manifest->source().workspaces.empty()) {
      workspace_ =
          call_.key ? view_->manifest->FindWorkspace(*call_.key) : nullptr;
      if (workspace_ == nullptr) {
        return RefuseUnknown(refusal_reason::kUnknownKey);
      }
    }
    const duration timeout =
        std::min(call_.caller_timeout.value_or(route_->answer_limit),
                 route_->answer_limit);
    answer_by_ = deadline::After(arrived_, timeout);
    if (const stop_schedule* stop =
            state_.stop.load(std::memory_order_acquire)) {
      if (!MayForward(*stop, answer_by_, arrived_)) {
        return call_refusal{refusal_reason::kStopping, kStoppingRetryDelay};
      }
      answer_by_ = answer_by_.Earlier(stop->answer_by);
    }
    const auto* target = ChooseTarget(
        route_->targets, split_mix(thread_random().Next()).NextUnit());
    pool_ = target == nullptr ? nullptr : view_->FindPool(target->service);
    if (pool_ == nullptr) {
      return call_refusal{refusal_reason::kNoUpstream, kNoUpstreamRetryDelay};
    }
    if (pool_->model) {
      parts_ = SuspectKeys(pool_->service, call_.prompt);
    }
    const auto refusal = ChargeLimit();
    if (!refusal) {
      pool_->stats->retries.Request(RetryPermille());
    }
    return refusal;
  }

  // Refuses a call whose route or key is not in the manifest. The refusal is
  // temporary if the manifest may be outdated, since a newer one may contain
  // them.
  std::optional<call_refusal> RefuseUnknown(refusal_reason reason) const {
    if (state_.IsManifestInDoubt()) {
      return call_refusal{refusal_reason::kManifestInDoubt,
                          kManifestRetryDelay};
    }
    return call_refusal{reason, duration(0)};
  }

  std::optional<call_refusal> ChargeLimit() {
    if (workspace_ == nullptr) {
      return std::nullopt;
    }
    distributed_rate_limiter* allowance =
        view_->FindRateLimiter(workspace_->name);
    if (allowance == nullptr) {
      return std::nullopt;
    }
    const rate_limit terms = RateLimitOf(*workspace_);
    std::uint64_t units = 1;
    if (workspace_->metered_in_tokens) {
      units = call_.has_token_counts
                  ? std::uint64_t{call_.prompt.prompt_tokens} +
                        call_.prompt.answer_tokens
                  : workspace_->default_call_tokens;
    }
    requested_units_ = units;
    if (!allowance->Admit(units, terms, arrived_)) {
      limit_retry_after_ = allowance->NextGrantAt(terms, arrived_) - arrived_;
      return call_refusal{refusal_reason::kOverLimit, limit_retry_after_};
    }
    charged_units_ = units;
    return std::nullopt;
  }

  // Holds the call while every upstream turns calls away, if one is expected to
  // take it soon.
  awaitable<void> Hold() {
    const hold_terms terms{route_->latency_target, arrived_, answer_by_};
    if (DecideHold(*pool_, terms, Now()) != hold_decision::kHold) {
      co_return;
    }
    held_calls& queue = held_.For(pool_->service);
    const held_calls::place place(queue, Urgency());
    if (!place.held()) {
      co_return;
    }
    while (!caller_gone_ && !ended_) {
      co_await Pause(held_calls::kCheckInterval);
      const hold_decision decision = DecideHold(*pool_, terms, Now());
      if (decision == hold_decision::kDoNotHold ||
          (decision == hold_decision::kOpen &&
           queue.TryLeave(Urgency(), Now()))) {
        break;
      }
    }
    held_for_ = Now() - arrived_;
  }

  // Selects the upstream of the next attempt.
  std::optional<call_refusal> SelectUpstream() {
    if (const auto refusal = RefuseBlockedPart()) {
      return refusal;
    }
    placement_request request;
    request.prompt = &call_.prompt;
    request.domain = state_.settings.failure_domain;
    request.tried = tried_upstreams_;
    request.now = Now();
    request.random_seed = thread_random().Next();
    request.can_fetch = pool_->model;
    request.latency_target = route_->latency_target;
    if (!ticket_.Choose(state_, *pool_, attempts_ == 0, request.now)) {
      return call_refusal{refusal_reason::kNoUpstream, kNoUpstreamRetryDelay};
    }
    request.versions = ticket_.rule();
    placement_ = PlaceCall(*pool_, state_.locations, CostsOf(*pool_), request);
    if (!placement_.target && ticket_.is_trial() &&
        ticket_.Choose(state_, *pool_, false, request.now)) {
      request.versions = ticket_.rule();
      placement_ =
          PlaceCall(*pool_, state_.locations, CostsOf(*pool_), request);
    }
    if (!placement_.target) {
      return call_refusal{
          refusal_reason::kNoUpstream,
          TimeUntilOneAccepts(*pool_, kNoUpstreamRetryDelay, request.now)};
    }
    expected_first_token_ = placement_.expected_wait + placement_.own_time;
    if (attempts_ > 0) {
      return std::nullopt;
    }
    verdict_ =
        AdmitPlaced(*pool_, placement_, route_->latency_target,
                    answer_by_.Remaining(request.now), request.now, Standing());
    if (!IsAdmitted(verdict_)) {
      CountRefusedForLoad();
      return RefusalForLoad(refusal_reason::kOverload);
    }
    return std::nullopt;
  }

  std::uint32_t Urgency() const {
    return workspace_ != nullptr && workspace_->priority ? *workspace_->priority
                                                         : route_->priority;
  }

  // The lot of a call to a model depends on its prompt, not on its id, so that
  // it is the same for an immediate retry at any instance.
  call_standing Standing() const {
    constexpr std::int64_t kLotMicros = 4'000'000;
    call_standing standing;
    standing.urgency = Urgency();
    standing.workspace = workspace_ == nullptr ? 0 : Hash64(workspace_->name);
    standing.lot =
        call_.prompt.prefixes.empty()
            ? Hash64(call_.request_id)
            : CombineHash(call_.prompt.prefixes.back().hash,
                          static_cast<std::uint64_t>(state_.TimeOfDayMicros() /
                                                     kLotMicros));
    return standing;
  }

  // Returns the refusal of a call for which the service has no capacity now.
  call_refusal RefusalForLoad(refusal_reason reason) const {
    const time_point now = Now();
    const first_token_estimate estimate =
        EstimateOf(*pool_, placement_, route_->latency_target,
                   answer_by_.Remaining(now), now);
    const double draw = split_mix(thread_random().Next()).NextUnit();
    return {
        reason,
        pool_->stats->admission.ReturnDelay(estimate, Standing(), draw, now),
        true};
  }

  void CountRefusedForLoad() {
    auto& counter = verdict_ == admission_verdict::kPrecedence
                        ? state_.counters.refused_for_urgency
                    : verdict_ == admission_verdict::kOverShare
                        ? state_.counters.refused_over_share
                        : state_.counters.refused_late;
    counter.fetch_add(1, std::memory_order_relaxed);
    const time_point now = Now();
    if (pool_->stats->admission.TakeShortageReport(now)) {
      Log(log_level::kWarning, log_event::kCapacityShort,
          {{"service", pool_->service},
           {"admission", std::string(Name(verdict_))},
           {"held_us", std::to_string(held_for_.count())},
           {"urgency", std::to_string(Urgency())},
           {"wait_us", std::to_string(placement_.expected_wait.count())}});
    }
  }

  // Refuses a call with a part that crashes upstreams, except for the one that
  // finds out whether it still does.
  std::optional<call_refusal> RefuseBlockedPart() {
    if (parts_.empty()) {
      return std::nullopt;
    }
    const rcu_read_guard guard;
    const suspect_view& suspects = state_.suspects.Read(guard);
    const time_point now = Now();
    const auto until = suspects.BlockedUntil(parts_, now);
    if (!until) {
      return std::nullopt;
    }
    state_.counters.blocked_calls.fetch_add(1, std::memory_order_relaxed);
    return call_refusal{refusal_reason::kBlockedPart,
                        std::max(until->Remaining(now), kNoUpstreamRetryDelay)};
  }

  // Reserves the trials of the call's blocked parts. Returns false if another
  // call has taken them since RefuseBlockedPart().
  bool TakeTrials() {
    if (parts_.empty()) {
      return true;
    }
    trial result = trial::kNotNeeded;
    {
      const rcu_read_guard guard;
      result = state_.suspects.Read(guard).TakeTrials(parts_);
    }
    if (result == trial::kTaken) {
      state_.part_tried(parts_);
    }
    return result != trial::kUnavailable;
  }

  // Tells the other calls that the parts of this one don't crash upstreams.
  void ReportAnsweredParts() {
    if (parts_.empty() || answer_reported_) {
      return;
    }
    answer_reported_ = true;
    bool must_report = false;
    {
      const rcu_read_guard guard;
      must_report = state_.suspects.Read(guard).MustReportAnswer(parts_);
    }
    if (must_report) {
      state_.part_answered(parts_);
    }
  }

  // Suspects the parts of the call if its upstream ended without notice while
  // it was beginning to answer.
  void ReportCrash(const pooled_upstream& target) const {
    const bool beginning =
        !first_event_at_ || Now() - *first_event_at_ < kAnswerBeginning;
    // A version that has not been judged may end by its own fault.
    if (failure_ == transfer_error::kClosed && beginning && !parts_.empty() &&
        !target.leaving() && !ticket_.is_trial()) {
      state_.counters.crashed_attempts.fetch_add(1, std::memory_order_relaxed);
      state_.upstream_crashed(parts_,
                              {target.hash(), Hash64(call_.request_id), Now()});
    }
  }

  awaitable<attempt_end> RunAttempt() {
    ++attempts_;
    answer_.reset();
    failure_.reset();
    first_event_at_.reset();
    pooled_upstream& target = *placement_.target;
    tried_upstreams_.push_back(target.hash());
    if (pool_->model) {
      RecordPlacement(state_.locations, target, call_.prompt, Now());
      pool_->stats->read_tokens.fetch_add(placement_.unread_tokens,
                                          std::memory_order_relaxed);
    }
    ticket_.Send(target.announced().version);
    target.Begin(placement_.unread_tokens);
    if (pool_->model) {
      state_.load_changed(placement_.target);
    }
    unread_tokens_ = placement_.unread_tokens;
    const attempt_end end = co_await Exchange(target);
    ReleaseUnreadTokens();
    target.End();
    if (!ended_) {
      ticket_.Record(target, placement_, route_->name, end, ComparableDelay());
    }
    switch (end) {
      case attempt_end::kAnswered:
        target.RecordSuccess();
        if (!pool_->model &&
            static_cast<unsigned>(answer_->status()) < kFirstErrorStatus) {
          ObservePlainSpeed(*pool_->stats, target, Now() - sent_at_, Now());
        }
        break;
      case attempt_end::kNotRun:
        target.RecordOverload(Now());
        break;
      case attempt_end::kNotSent:
        RecordUnreachable(target);
        break;
      case attempt_end::kCallerGone:
        break;
      case attempt_end::kLost:
        target.RecordFailure(Now());
        ReportCrash(target);
        break;
      case attempt_end::kTimedOut:
        // An upstream that has said that it is still slow is not at fault.
        if (target.IsCold(Now())) {
          target.RecordSlowWhileCold();
        } else {
          target.RecordFailure(Now());
        }
        break;
      default:
        target.RecordFailure(Now());
        break;
    }
    ticket_.Release();
    may_have_run_ = may_have_run_ || MayHaveRun(end);
    co_return end;
  }

  // Returns the delay of the attempt in a form that makes calls comparable: for
  // a model the first token's as a multiple of the expected one, which depends
  // on the part of the prompt that has to be computed. Nothing if that part was
  // not known, as at an engine without caches.
  std::optional<double> ComparableDelay() const {
    const duration delay = first_event_at_.value_or(Now()) - sent_at_;
    if (!pool_->model) {
      return static_cast<double>(delay.count());
    }
    if (!placement_.cache_known || expected_first_token_ <= duration::zero()) {
      return std::nullopt;
    }
    return static_cast<double>(delay.count()) /
           static_cast<double>(expected_first_token_.count());
  }

  // Nothing was sent, so the attempt does not count towards the maximum number
  // of attempts.
  void RecordUnreachable(pooled_upstream& target) {
    target.RecordUnreachable(Now());
    --attempts_;
    ++unreached_;
    if (pool_->model) {
      pool_->stats->read_tokens.fetch_sub(placement_.unread_tokens,
                                          std::memory_order_relaxed);
    }
  }

  std::uint32_t RetryPermille() const {
    // The rest of the share is reserved for retries that span two windows.
    constexpr double kBudgetedShare = 0.8;
    return static_cast<std::uint32_t>(state_.settings.retry_share * 1000 *
                                      kBudgetedShare);
  }

  void ReleaseUnreadTokens() {
    if (unread_tokens_ == 0) {
      return;
    }
    placement_.target->EndPrefill(unread_tokens_);
    unread_tokens_ = 0;
    state_.load_changed(placement_.target);
  }

  // Returns the time at which the attempt fails.
  deadline AttemptDeadline() const {
    const bool may_repeat = route_->repeat == retry_semantics::kRepeatable &&
                            attempts_ < route_->attempts;
    if (!may_repeat) {
      return answer_by_;
    }
    const duration timeout =
        route_->latency_target * kRepeatableAttemptTimeoutPermille / 1000;
    const time_point now = Now();
    const pooled_upstream& target = *placement_.target;
    return LimitOfRepeatableAttempt(
        timeout, target.slowdown(now) * target.ColdFactor(now),
        pool_->stats->answers.typical(), answer_by_, now);
  }

  awaitable<attempt_end> Exchange(pooled_upstream& target) {
    upstream_call_options call_options;
    call_options.expected_id = target.announced().id;
    call_options.time_left = answer_by_.Remaining(Now());
    call_options.last_event_id = events_.last_id();
    if (workspace_ != nullptr) {
      call_options.workspace = workspace_->name;
    }
    call_options.priority = Urgency();
    if (placement_.fetch_from) {
      call_options.fetch_from = placement_.fetch_from->announced().address;
    }
    const connection_use use = route_->repeat == retry_semantics::kRepeatable
                                   ? connection_use::kPooled
                                   : connection_use::kPooledOnce;
    const deadline limit = AttemptDeadline();
    sent_at_ = Now();
    auto opened = co_await client_.Open(
        target.announced().address,
        Codec::EncodeCall(exchange_.request(), call_options), limit, use,
        &handle_);
    if (!opened) {
      co_return EndForFailure(opened.error());
    }
    answer_ = std::move(*opened);
    co_return co_await ReadAnswer(target, limit);
  }

  attempt_end EndForFailure(const transfer_failure& failure) {
    failure_ = failure.error;
    if (caller_gone_) {
      return attempt_end::kCallerGone;
    }
    if (!failure.sent) {
      return attempt_end::kNotSent;
    }
    if (ended_) {
      return attempt_end::kTimedOut;
    }
    return failure.error == transfer_error::kTimedOut ? attempt_end::kTimedOut
                                                      : attempt_end::kLost;
  }

  awaitable<attempt_end> ReadAnswer(pooled_upstream& target, deadline limit) {
    upstream_answer head = Codec::DecodeAnswer(answer_->fields());
    for (int skipped = 0; !MatchesCall(head); ++skipped) {
      // The answer belongs to an earlier request on this connection.
      if (skipped == kMaxStaleAnswers || head.request_id.empty()) {
        co_return RejectAnswer();
      }
      const auto next = co_await answer_->ReadNextResponse(limit);
      if (!next) {
        co_return EndForFailure(next.error());
      }
      answer_->DisableReuse();
      head = Codec::DecodeAnswer(answer_->fields());
    }
    const auto status = static_cast<unsigned>(answer_->status());
    RecordUpstreamState(target, head, status);
    constexpr unsigned kMisdirected = 421;
    if (status == kMisdirected) {
      // Another upstream process has taken over the address.
      target.Leave();
      co_return attempt_end::kNotRun;
    }
    if (head.not_run) {
      co_return attempt_end::kNotRun;
    }
    const bool success = status >= 200 && status < 300;
    if (head.encoded || (success && !head.is_signed)) {
      co_return RejectAnswer();
    }
    const bool is_stream = success && route_->streaming && HasEventStream();
    if (streaming_ && !is_stream) {
      // The answer can't continue the stream that the caller is receiving.
      answer_->DisableReuse();
      co_return attempt_end::kServerError;
    }
    if (is_stream) {
      co_return co_await ForwardEvents(limit);
    }
    co_return co_await ReadWholeAnswer(status, limit);
  }

  // Whether the body of the answer consists of events, as far as its type says.
  bool HasEventStream() const {
    constexpr std::string_view kEventStream = "text/event-stream";
    const std::string_view type = answer_->Header("Content-Type");
    return type.empty() || type.starts_with(kEventStream);
  }

  // Applies what the answer says about the upstream itself.
  void RecordUpstreamState(pooled_upstream& target,
                           const upstream_answer& head,
                           unsigned status) {
    if (head.leaving && !target.said_leaving()) {
      target.LeaveByOwnWord();
      Log(log_level::kInfo, log_event::kUpstreamDraining,
          {{"upstream", target.announced().id}, {"source", "answer"}});
    }
    if (head.load) {
      target.RecordLoad(*head.load, Now());
    }
    constexpr unsigned kUnavailable = 503;
    if (status == kUnavailable && head.refuses_for > duration::zero()) {
      target.RefuseUntil(deadline::After(Now(), head.refuses_for));
      if (head.refuses_for >= kRecoveryPause) {
        target.StartPacing();
      }
    }
  }

  // A stale answer carries the id of an earlier request, or none. An error
  // response without an id is accepted only if there was no earlier request.
  bool MatchesCall(const upstream_answer& head) const {
    return head.request_id == call_.request_id ||
           (head.request_id.empty() && !answer_->IsOnReusedConnection() &&
            static_cast<unsigned>(answer_->status()) >= kFirstErrorStatus);
  }

  // Discards a buffered answer.
  void ReleaseBody() {
    body_ = std::string();
    answer_memory_.Resize(0);
  }

  // Fails the attempt. The connection is not reused, since its further bytes
  // cannot be trusted.
  attempt_end RejectAnswer() {
    answer_->DisableReuse();
    return attempt_end::kLost;
  }

  // Fails an attempt whose answer doesn't fit into the memory for answers.
  attempt_end RejectForMemory() {
    state_.counters.oversized_answers.fetch_add(1, std::memory_order_relaxed);
    failure_ = transfer_error::kTooLarge;
    return RejectAnswer();
  }

  // Fails an attempt whose answer ended with its connection before it was
  // complete.
  attempt_end BrokenOff() {
    failure_ = transfer_error::kClosed;
    return RejectAnswer();
  }

  awaitable<attempt_end> ReadWholeAnswer(unsigned status, deadline limit) {
    ReleaseBody();
    for (;;) {
      const auto bytes = co_await answer_->ReadSome(limit);
      if (!bytes) {
        co_return EndForFailure(bytes.error());
      }
      if (bytes->empty()) {
        break;
      }
      if (!answer_memory_.Resize(body_.size() + bytes->size())) {
        co_return RejectForMemory();
      }
      body_.append(*bytes);
    }
    if (body_.empty() && status < kFirstErrorStatus &&
        answer_->IsCloseDelimited()) {
      // The upstream closed the connection right after the head.
      co_return BrokenOff();
    }
    CountUsage();
    if (status < kFirstErrorStatus) {
      ReportAnsweredParts();
    }
    co_return status >= 500 ? attempt_end::kServerError
                            : attempt_end::kAnswered;
  }

  awaitable<attempt_end> ForwardEvents(deadline limit) {
    events_.DiscardIncompleteEvent();
    ReleaseBody();
    for (;;) {
      const auto bytes = co_await answer_->ReadSome(limit);
      if (!bytes) {
        co_return EndForFailure(bytes.error());
      }
      if (bytes->empty()) {
        break;
      }
      if (!answer_memory_.Resize(events_.pending_bytes() + bytes->size())) {
        co_return RejectForMemory();
      }
      events_.Append(*bytes);
      const std::string_view whole = events_.CompleteEvents();
      if (whole.empty()) {
        if (events_.pending_bytes() > kMaxEventBytes) {
          co_return RejectAnswer();
        }
        continue;
      }
      if (!co_await WriteEvents(whole)) {
        co_return attempt_end::kCallerGone;
      }
      events_.ConsumeEvents();
      const time_point now = Now();
      if (!first_event_at_) {
        first_event_at_ = now;
      } else if (now - *first_event_at_ >= kAnswerBeginning) {
        ReportAnsweredParts();
      }
    }
    if (events_.HasIncompleteEvent() ||
        (!first_event_at_ && answer_->IsCloseDelimited())) {
      co_return BrokenOff();
    }
    ReportAnsweredParts();
    co_return attempt_end::kAnswered;
  }

  awaitable<bool> WriteEvents(std::string_view whole) {
    if (!streaming_) {
      streaming_ = true;
      ReleaseUnreadTokens();
      CountUsage();
      state_.counters.first_byte.Add(Now() - arrived_);
      first_byte_at_ = Now();
      if (attempts_ == 1 && pool_->model && !ticket_.is_trial()) {
        ObserveFirstToken(*pool_, placement_, call_.prompt.prompt_tokens,
                          first_byte_at_ - sent_at_, first_byte_at_);
      }
      const auto headers = AnswerHeaders();
      if (!co_await exchange_.BeginStream(
              answer_->status(), answer_->Header("Content-Type"), headers)) {
        co_return false;
      }
    }
    co_return co_await exchange_.WriteChunk(whole);
  }

  // Usage counts requests, not attempts, so each call is counted once.
  void CountUsage() {
    if (usage_counted_ || workspace_ == nullptr) {
      return;
    }
    usage_counted_ = true;
    const auto window = static_cast<std::uint64_t>(
        state_.TimeOfDayMicros() / state_.settings.usage_window.count());
    state_.usage.Count(window, workspace_->name);
  }

  // Returns the headers that are forwarded to the caller. Views point into the
  // answer.
  std::vector<http_header> AnswerHeaders() const {
    std::vector<http_header> headers;
    for (const auto& field : answer_->fields()) {
      const std::string_view name(field.name_string().data(),
                                  field.name_string().size());
      if (Codec::ForwardsToCaller(name) &&
          field.name() != boost::beast::http::field::content_type) {
        headers.push_back({name, {field.value().data(), field.value().size()}});
      }
    }
    return headers;
  }

  next_step DecideNextStep(attempt_end end) {
    attempt_context context;
    context.end = end;
    context.repeat = route_->repeat;
    context.may_have_run = may_have_run_;
    context.answer_started = streaming_;
    context.attempts = attempts_;
    context.max_attempts = route_->attempts;
    context.unreachable_upstreams = unreached_;
    context.answer_by = answer_by_;
    context.min_attempt_time = std::max(
        kMinAttemptTime, LikelyRetryTime(*pool_, tried_upstreams_, Now()));
    const next_step step = DecideAfterAttempt(context, Now());
    if (step == next_step::kRepeat && RepeatAddsLoad(end) &&
        !pool_->stats->retries.TryTake()) {
      return StepWithoutRepeat(context, Now());
    }
    return step;
  }

  awaitable<void> Finish(next_step step) {
    switch (step) {
      case next_step::kDeliver:
        co_await Deliver();
        break;
      case next_step::kRefuse:
        pool_->stats->admission.CountTurnedAway(Now());
        co_await Refuse(RefusalForLoad(refusal_reason::kNotRun));
        break;
      case next_step::kAbandon:
        Refund();
        exchange_.Abort();
        state_.counters.abandoned.fetch_add(1, std::memory_order_relaxed);
        LogEnd("abandoned", 0);
        break;
      case next_step::kTimeOut:
        co_await Fail(http_status::gateway_timeout);
        break;
      default:
        co_await Fail(http_status::bad_gateway);
        break;
    }
  }

  awaitable<void> Deliver() {
    state_.counters.delivered.fetch_add(1, std::memory_order_relaxed);
    state_.counters.whole_answer.Add(Now() - arrived_);
    if (attempts_ == 1 && !pool_->model) {
      ObservePlainAnswer(*pool_, placement_, Now() - sent_at_, Now());
    }
    const auto status = static_cast<unsigned>(answer_->status());
    if (streaming_) {
      const bool ended = co_await exchange_.EndStream();
      LogEnd(ended ? "delivered" : "caller_gone", status);
      co_return;
    }
    // Callers take these statuses to mean that the call did not run.
    constexpr std::array<unsigned, 4> kNotRunStatuses = {408, 421, 429, 503};
    if (std::ranges::find(kNotRunStatuses, status) != kNotRunStatuses.end()) {
      co_await Fail(http_status::bad_gateway);
      co_return;
    }
    const auto headers = AnswerHeaders();
    co_await exchange_.Respond(answer_->status(),
                               answer_->Header("Content-Type"), body_, headers);
    LogEnd("delivered", status);
  }

  // The call may have run, so the status must not imply that it did not.
  awaitable<void> Fail(http_status status) {
    state_.counters.failed.fetch_add(1, std::memory_order_relaxed);
    LogEnd("failed", static_cast<unsigned>(status));
    if (streaming_) {
      exchange_.Abort();
      co_return;
    }
    co_await RespondFailed(exchange_, Codec::RequestIdHeader(),
                           call_.request_id, status);
  }

  // Ends a call for which no upstream is left.
  awaitable<void> RefuseWithoutUpstream(const call_refusal& refusal) {
    if (may_have_run_) {
      co_await Finish(answer_by_.Expired(Now()) ? next_step::kTimeOut
                                                : next_step::kFail);
      co_return;
    }
    co_await Refuse(refusal);
  }

  awaitable<void> Refuse(const call_refusal& refusal) {
    Refund();
    auto& counter = IsDenial(refusal.reason) ? state_.counters.denied
                                             : state_.counters.refused;
    counter.fetch_add(1, std::memory_order_relaxed);
    LogEnd(Name(refusal.reason), static_cast<unsigned>(Status(refusal.reason)));
    co_await RespondRefused(exchange_, Codec::RequestIdHeader(),
                            call_.request_id, refusal);
  }

  // Refunds the charged units to the workspace's limit if the call did not run.
  void Refund() {
    if (charged_units_ == 0 || may_have_run_) {
      return;
    }
    if (distributed_rate_limiter* allowance =
            view_->FindRateLimiter(workspace_->name)) {
      allowance->Refund(charged_units_, RateLimitOf(*workspace_));
    }
    charged_units_ = 0;
  }

  void LogAttempt(attempt_end end, next_step step) const {
    if (end == attempt_end::kAnswered) {
      return;  // LogEnd() reports this attempt.
    }
    const pooled_upstream& target = *placement_.target;
    Log(log_level::kWarning, log_event::kCallAttemptEnded,
        {{"request", std::string(call_.request_id)},
         {"upstream", target.announced().id},
         {"attempt", std::to_string(attempts_)},
         {"unreached", std::to_string(unreached_)},
         {"route", route_->name},
         {"end", std::string(Name(end))},
         {"failure", failure_ ? std::string(Name(*failure_)) : "none"},
         {"events", streaming_ ? "yes" : "no"},
         {"parts", FormatHashes(parts_)},
         {"status",
          answer_ ? std::to_string(static_cast<unsigned>(answer_->status()))
                  : "none"},
         {"next", std::string(Name(step))},
         {"sent_us_ago", std::to_string((Now() - sent_at_).count())},
         {"retries_permille",
          std::to_string(pool_->stats->retries.balance_permille())}});
  }

  static std::string FormatAge(const std::optional<duration>& age) {
    return age ? std::to_string(age->count()) : "none";
  }

  void LogEnd(std::string_view outcome, unsigned status) const {
    const bool placed = placement_.target != nullptr;
    Log(log_level::kInfo, log_event::kCallEnded,
        {{"request", std::string(call_.request_id)},
         {"outcome", std::string(outcome)},
         {"status", std::to_string(status)},
         {"route", route_ == nullptr ? "none" : route_->name},
         {"workspace", workspace_ == nullptr ? "none" : workspace_->name},
         {"manifest", view_->manifest
                          ? std::to_string(view_->manifest->version())
                          : "none"},
         {"manifest_age_us", FormatAge(state_.ManifestAge())},
         {"upstream", placed ? placement_.target->announced().id : "none"},
         {"attempts", std::to_string(attempts_)},
         {"unreached", std::to_string(unreached_)},
         {"units", std::to_string(requested_units_)},
         {"limit_per_s", workspace_ == nullptr
                             ? "0"
                             : std::to_string(workspace_->units_per_second)},
         {"burst", workspace_ == nullptr
                       ? "0"
                       : std::to_string(workspace_->burst_units)},
         {"free_in_us", std::to_string(limit_retry_after_.count())},
         {"unaccounted",
          std::to_string(state_.unaccounted.load(std::memory_order_relaxed))},
         {"wait_us", std::to_string(placement_.expected_wait.count())},
         {"expected_us", std::to_string(expected_first_token_.count())},
         {"bias_permille",
          pool_ == nullptr
              ? "0"
              : std::to_string(pool_->stats->first_token.permille(Now()))},
         {"admission", std::string(Name(verdict_))},
         {"urgency", std::to_string(route_ == nullptr ? 0 : Urgency())},
         {"unread", std::to_string(placement_.unread_tokens)},
         {"fetched", std::to_string(placement_.fetched_tokens)},
         {"parts", FormatHashes(parts_)},
         {"running",
          placed ? std::to_string(placement_.target->total_running()) : "0"},
         {"first_us", streaming_
                          ? std::to_string((first_byte_at_ - arrived_).count())
                          : "0"},
         {"took_us", std::to_string((Now() - arrived_).count())}});
  }

  static constexpr unsigned kFirstErrorStatus = 400;

  gateway_state& state_;
  http_client& client_;
  http_exchange& exchange_;
  held_call_queues& held_;
  inbound_call call_;
  std::shared_ptr<const serving_view> view_;
  time_point arrived_;
  deadline answer_by_ = deadline::Never();
  const manifest_route* route_ = nullptr;
  const manifest_workspace* workspace_ = nullptr;
  const upstream_pool* pool_ = nullptr;
  // Units of the workspace's limit that the call requested, and those currently
  // charged for it.
  std::uint64_t requested_units_ = 0;
  std::uint64_t charged_units_ = 0;
  // Time until the workspace's limit admits a call again, if it refused this
  // one.
  duration limit_retry_after_{0};
  // Estimated time from sending the call to the first token, based on the load
  // known at placement.
  duration expected_first_token_{0};
  // Time for which the call was held before its first attempt.
  duration held_for_{0};

  rollout_ticket ticket_;
  placement placement_;
  admission_verdict verdict_ = admission_verdict::kAdmit;
  // Keys of the shared parts of the prompt; empty for plain services.
  std::vector<std::uint64_t> parts_;
  std::vector<std::uint64_t> tried_upstreams_;
  // Attempts that reached an upstream, and upstreams that could not be
  // connected to.
  std::uint32_t attempts_ = 0;
  std::uint32_t unreached_ = 0;
  std::uint32_t unread_tokens_ = 0;
  time_point sent_at_;
  time_point first_byte_at_;
  // Arrival of the first event of the current attempt.
  std::optional<time_point> first_event_at_;
  bool may_have_run_ = false;
  bool caller_gone_ = false;
  // Whether End() was called.
  bool ended_ = false;
  bool answer_reported_ = false;
  bool usage_counted_ = false;

  http_call_handle handle_;
  std::unique_ptr<http_response_stream> answer_;
  // Why the transfer of the current attempt failed, if it did.
  std::optional<transfer_error> failure_;
  std::string body_;
  event_splitter events_;
  // Covers the sizes of body_ and events_, of which one is in use at a time.
  answer_share answer_memory_;
  bool streaming_ = false;
};

// Handles the requests of callers. `clients` holds one client for each of the
// `threads` caller threads.
template <call_codec Codec>
class call_forwarder {
 public:
  call_forwarder(gateway_state& state,
                 std::vector<std::unique_ptr<http_client>>& clients,
                 std::size_t threads)
      : state_(state), clients_(clients), calls_(threads) {}

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread) {
    const unfinished_call counted(state_.unfinished);
    state_.counters.calls.fetch_add(1, std::memory_order_relaxed);
    forwarded_call<Codec> call(state_, *clients_[thread], exchange, held_);
    calls_[thread].push_back(call);
    co_await call.Run();
  }

  // Ends the unanswered calls of a caller thread. Must run on that thread.
  void EndCalls(std::size_t thread) {
    for (forwarded_call<Codec>& call : calls_[thread]) {
      call.End();
    }
  }

 private:
  // Counts a call until it ends, also by an exception.
  class unfinished_call {
   public:
    explicit unfinished_call(std::atomic<std::uint32_t>& count)
        : count_(count) {
      count_.fetch_add(1, std::memory_order_relaxed);
    }
    ~unfinished_call() { count_.fetch_sub(1, std::memory_order_relaxed); }
    unfinished_call(const unfinished_call&) = delete;
    unfinished_call& operator=(const unfinished_call&) = delete;

   private:
    std::atomic<std::uint32_t>& count_;
  };

  // Calls leave the list when they are destroyed.
  using call_list =
      boost::intrusive::list<forwarded_call<Codec>,
                             boost::intrusive::constant_time_size<false>>;

  gateway_state& state_;
  std::vector<std::unique_ptr<http_client>>& clients_;
  held_call_queues held_;
  // Indexed by thread.
  std::vector<call_list> calls_;
};

}  // namespace anvilloom

#endif  // ENTRY_FORWARDED_CALL_H_
