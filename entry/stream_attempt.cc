#include "entry/stream_attempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "common/hash.h"
#include "common/log.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
using http_verb = boost::beast::http::verb;

constexpr std::string_view kEventData = "data: ";
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kLeavingHeader = "X-Leaving";
// For shorter prefills, the network and the engine's scheduling take more of
// the time to the first token than the prefill does.
constexpr std::uint32_t kMinPrefillTokens = 128;

http_request EncodeAttempt(const stream_session& session,
                           std::string_view attempt_id,
                           std::string_view cache_handle) {
  const stream_spec& order = session.order();
  resume_point resume;
  resume.tokens = session.tokens();
  resume.text = session.text();
  resume.cache_handle = cache_handle;
  return MakeRequest(
      http_verb::post, "/v1/chat/completions",
      EncodeEngineRequest(order.request, order.target.model, attempt_id,
                          order.target.terms.priority_class, resume));
}

// Estimates the number of prefilled tokens, for use until the engine reports
// its usage. Ignores a cached leading part: it always appears cached, since
// selecting the upstream has just recorded it as sent there.
std::uint32_t EstimatePrefill(const process_state& process,
                              const stream_session& session,
                              const link& path) {
  const chat_request& request = session.order().request;
  const std::uint32_t prompt = EstimatePromptTokens(request);
  const bool cached = process.policy.IsCached(PromptHash(request), path);
  return (cached ? 0 : prompt) + session.tokens();
}

}  // namespace

stream_attempt::stream_attempt(worker& self,
                               std::shared_ptr<stream_session> session,
                               chosen_upstream chosen,
                               std::uint32_t number)
    : self_(self),
      session_(std::move(session)),
      chosen_(std::move(chosen)),
      attempt_number_(number),
      // The attempt number restarts at each holder of the stream, and the last
      // attempt of the previous holder may still run at the engine. The number
      // of transfers keeps the ids of different holders apart.
      id_(session_->order().stream_id + "/" +
          std::to_string(session_->transfer()) + "." + std::to_string(number)),
      stall_limits_(StallLimitsOf(session_->order().target.terms)),
      check_(id_, session_->tokens()),
      started_at_(self.process().clock.Now()),
      last_token_at_(started_at_),
      prefilled_tokens_(
          EstimatePrefill(self.process(), *session_, *chosen_.path)),
      upstream_queued_(chosen_.path->last_report().waiting > 0) {}

void stream_attempt::Start(std::string cache_handle) {
  if (!cache_handle.empty()) {
    // The imported cache covers everything except the tokens generated since
    // the export.
    prefilled_tokens_ = 0;
  }
  net::co_spawn(self_.context(),
                Run(shared_from_this(), std::move(cache_handle)),
                net::detached);
}

void stream_attempt::Abandon() {
  abandoned_ = true;
  if (answer_) {
    answer_->Close();
  }
}

std::uint32_t stream_attempt::recomputed_tokens() const {
  return attempt_number_ > 1 && first_token_seen_ ? prefilled_tokens_ : 0;
}

awaitable<void> stream_attempt::Run(std::shared_ptr<stream_attempt> keep_alive,
                                    std::string cache_handle) {
  const link_reservation reservation = std::move(chosen_.place);
  Finish(co_await ReadAnswer(std::move(cache_handle)));
  keep_alive->answer_.reset();
}

awaitable<stream_attempt_end> stream_attempt::ReadAnswer(
    std::string cache_handle) {
  auto opened = co_await self_.client().Open(
      chosen_.address, EncodeAttempt(*session_, id_, cache_handle),
      StallDeadline());
  if (abandoned_) {
    co_return stream_attempt_end::kIncomplete;
  }
  if (!opened) {
    co_return EndForFailure(opened.error());
  }
  answer_ = std::move(*opened);
  if (answer_->status() != http_status::ok) {
    co_return EndForStatus();
  }
  for (;;) {
    const auto bytes = co_await answer_->ReadSome(StallDeadline());
    if (abandoned_) {
      co_return stream_attempt_end::kIncomplete;
    }
    if (!bytes) {
      co_return EndForFailure(bytes.error());
    }
    if (bytes->empty()) {
      co_return end_marker_seen_&& check_.complete()
          ? stream_attempt_end::kComplete
          : stream_attempt_end::kIncomplete;
    }
    if (!ConsumeBytes(*bytes)) {
      co_return stream_attempt_end::kBadAnswer;
    }
  }
}

stream_attempt_end stream_attempt::EndForStatus() const {
  switch (answer_->status()) {
    case http_status::service_unavailable:
      return answer_->Header(kLeavingHeader) == "1"
                 ? stream_attempt_end::kLeaving
                 : stream_attempt_end::kRefused;
    case http_status::conflict:
    case http_status::too_many_requests:
      return stream_attempt_end::kRefused;
    case http_status::bad_request:
    case http_status::payload_too_large:
    case http_status::unprocessable_entity:
      return stream_attempt_end::kInvalidRequest;
    default:
      return stream_attempt_end::kIncomplete;
  }
}

stream_attempt_end stream_attempt::EndForFailure(
    const transfer_failure& failure) const {
  if (failure.error == transfer_error::kTimedOut) {
    return stream_attempt_end::kStalled;
  }
  if (failure.error == transfer_error::kMalformed) {
    return stream_attempt_end::kBadAnswer;
  }
  return failure.sent ? stream_attempt_end::kIncomplete
                      : stream_attempt_end::kNotSent;
}

bool stream_attempt::ConsumeBytes(std::string_view bytes) {
  lines_.Append(bytes);
  while (const auto line = lines_.NextLine()) {
    if (line->starts_with(kEventData) &&
        !ConsumeEventData(line->substr(kEventData.size()))) {
      return false;
    }
  }
  return true;
}

bool stream_attempt::ConsumeEventData(std::string_view data) {
  if (data == kDone) {
    end_marker_seen_ = true;
    return true;
  }
  const auto chunk = decoder_.Decode(data);
  if (!chunk) {
    return RejectAnswer();
  }
  switch (check_.Observe(*chunk)) {
    case chunk_verdict::kAccept:
      AcceptChunk(*chunk);
      return true;
    case chunk_verdict::kDuplicate:
      ++self_.metrics().rejected_chunks;
      return true;
    case chunk_verdict::kVersionChange:
      chosen_.path->ObserveVersion(Hash64(chunk->model_version),
                                   self_.process().clock.Now());
      return RejectAnswer();
    default:
      return RejectAnswer();
  }
}

void stream_attempt::AcceptChunk(const answer_chunk& chunk) {
  if (!chunk.model_version.empty()) {
    chosen_.path->ObserveVersion(Hash64(chunk.model_version),
                                 self_.process().clock.Now());
    if (session_->model_version() != chunk.model_version) {
      session_->SetModelVersion(chunk.model_version);
    }
  }
  if (chunk.prefilled_tokens) {
    prefilled_tokens_ = *chunk.prefilled_tokens;
    ObservePrefill();
  }
  if (chunk.token_index) {
    ObserveTiming();
    ++self_.metrics().tokens;
    session_->Append(chunk.text);
  }
}

void stream_attempt::ObserveTiming() {
  const time_point now = self_.process().clock.Now();
  if (!first_token_seen_) {
    first_token_seen_ = true;
    first_token_latency_ = now - started_at_;
    chosen_.path->ObserveFirstToken(first_token_latency_);
    const std::string_view upstream = chosen_.path->upstream_name();
    const chat_request& request = session_->order().request;
    self_.process().policy.CacheStored(PromptHash(request), upstream, now);
    self_.process().policy.CacheStored(PrefixHash(request), upstream, now);
    if (session_->tokens() == 0) {
      self_.metrics().first_token.Add(now - session_->order().accepted_at);
    }
  } else {
    chosen_.path->ObserveTokenInterval(now - last_token_at_);
    self_.metrics().token_interval.Add(now - last_token_at_);
  }
  last_token_at_ = now;
}

void stream_attempt::ObservePrefill() {
  // The first token comes after the prefill and one decoding iteration.
  const duration spent =
      first_token_latency_ - chosen_.path->token_interval_average();
  if (prefilled_tokens_ >= kMinPrefillTokens && !upstream_queued_ &&
      spent > duration::zero()) {
    chosen_.path->ObservePrefill(prefilled_tokens_, spent);
  }
}

bool stream_attempt::RejectAnswer() {
  ++self_.metrics().rejected_chunks;
  Log(log_level::kWarning, log_event::kAnswerRejected,
      {{"stream", session_->order().stream_id},
       {"upstream", std::string(chosen_.path->upstream_name())}});
  return false;
}

deadline stream_attempt::StallDeadline() const {
  const duration max_silence = first_token_seen_ ? stall_limits_.token_interval
                                                 : stall_limits_.first_token;
  return deadline::After(last_token_at_, max_silence)
      .Earlier(session_->order().answer_by);
}

void stream_attempt::Finish(stream_attempt_end end) {
  end_ = end;
  session_->WakeDriver();
}

}  // namespace anvilloom
