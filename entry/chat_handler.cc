#include "entry/chat_handler.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "entry/admission_gate.h"
#include "entry/chosen_upstream.h"
#include "entry/refusal_reply.h"
#include "entry/stream_handover.h"
#include "entry/stream_runner.h"
#include "wire/chat_codec.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace leaf = boost::leaf;

// Events that are encoded at a time. A client that reads slowly holds no more
// of a stream that it has resumed.
constexpr std::size_t kMaxWriteBytes = std::size_t{16} * 1024;
// Other requests are completed or given up in this time.
constexpr duration kMemoryRetryDelay = std::chrono::seconds(1);
constexpr std::string_view kStreamsPath = "/v1/streams/";
// Limit on proxying one resumed stream.
constexpr duration kResumeProxyTimeout = std::chrono::minutes(10);
// Time reserved before the deadline to redirect the caller to the holder.
constexpr duration kRedirectMargin = std::chrono::milliseconds(300);
// A holder that does not answer may have failed just after it accepted the
// stream. The stopping instance then finds another holder within about 2 s,
// which these attempts cover.
constexpr int kMaxResumeAttempts = 8;
constexpr duration kResumeRetryDelay = std::chrono::milliseconds(300);

// The decoded body, or the reason why it was rejected.
struct decoded_body {
  std::optional<chat_request> request;
  chat_fault fault = chat_fault::kNotJson;
};

decoded_body DecodeBody(std::string_view body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<decoded_body> {
        BOOST_LEAF_AUTO(request, DecodeChatRequest(body));
        return decoded_body{std::move(request)};
      },
      [](chat_fault fault) {
        return decoded_body{std::nullopt, fault};
      },
      [] { return decoded_body{}; });
}

completion_identity IdentityOf(const stream_session& session) {
  return {session.order().request_id, session.order().request.service,
          session.model_version()};
}

// Appends the events from token `next` on, up to about kMaxWriteBytes, and
// advances `next` past them.
void AppendTokens(std::string& out,
                  const stream_session& session,
                  std::uint32_t& next) {
  const completion_identity identity = IdentityOf(session);
  while (next < session.visible_tokens() && out.size() < kMaxWriteBytes) {
    AppendTokenEvent(out, session.order().stream_id, identity, next,
                     session.token(next));
    ++next;
  }
}

void AppendEnd(std::string& out, const stream_session& session) {
  const stream_spec& order = session.order();
  if (session.phase() == stream_phase::kComplete) {
    AppendFinishEvents(out, order.stream_id, IdentityOf(session),
                       session.prompt_tokens(), session.tokens());
    return;
  }
  out += "event: error\ndata: ";
  out += EncodeRefusal(*session.failure(), order.request_id);
  out += "\n\n";
}

// Writes server-sent events from token `next` on until the stream ends or the
// caller disconnects.
awaitable<void> WriteEvents(http_exchange& exchange,
                            std::shared_ptr<stream_session> session,
                            std::uint32_t next) {
  const std::array<http_header, 2> headers = {
      {{"Cache-Control", "no-store"},
       {"X-Stream-Id", session->order().stream_id}}};
  bool open = co_await exchange.BeginStream(http_status::ok,
                                            "text/event-stream", headers);
  std::string out;
  while (open) {
    out.clear();
    AppendTokens(out, *session, next);
    const bool ended = session->phase() != stream_phase::kRunning &&
                       next >= session->visible_tokens();
    const bool handed_over =
        ended && session->phase() == stream_phase::kHandedOver;
    if (ended && !handed_over) {
      AppendEnd(out, *session);
    }
    if (!out.empty()) {
      open = co_await exchange.WriteChunk(out);
    }
    if (handed_over) {
      // Without an end marker, the caller knows that it has to reconnect.
      exchange.Abort();
      co_return;
    }
    if (ended) {
      break;
    }
    if (open && next >= session->visible_tokens() &&
        session->phase() == stream_phase::kRunning) {
      co_await session->AwaitChange();
    }
  }
  if (open && co_await exchange.EndStream()) {
    session->SetFetched();
  }
}

// Waits for the first token or the end, so that a request that fails before its
// first token gets an HTTP error status.
awaitable<void> AwaitFirstToken(std::shared_ptr<stream_session> session) {
  while (session->tokens() == 0 && session->phase() == stream_phase::kRunning) {
    co_await session->AwaitChange();
  }
}

awaitable<void> AwaitEnd(std::shared_ptr<stream_session> session) {
  while (session->phase() == stream_phase::kRunning) {
    co_await session->AwaitChange();
  }
}

awaitable<void> WriteWholeAnswer(http_exchange& exchange,
                                 std::shared_ptr<stream_session> session) {
  const std::string body =
      EncodeCompletion(IdentityOf(*session), session->text(),
                       session->prompt_tokens(), session->tokens());
  if (co_await exchange.Respond(http_status::ok, "application/json", body)) {
    session->SetFetched();
  }
}

// Holds the ticket until the stream has ended, even if its caller has
// disconnected, and settles it with the tokens that were used.
awaitable<void> HoldTicket(std::shared_ptr<stream_session> session,
                           admission_ticket ticket) {
  co_await AwaitEnd(session);
  const bool complete = session->phase() == stream_phase::kComplete;
  if (complete) {
    ticket.Settle(session->prompt_tokens() + session->tokens());
  } else if (session->failure() &&
             session->failure()->code == refusal_code::kNoUpstream &&
             session->tokens() == 0) {
    ticket.Settle(0);
  }
  // Any other failure may have used the upstream, so the estimate stays
  // charged.
}

// A validated and admitted request, or the reason why it was refused.
struct prepared_stream {
  std::optional<refusal> refused;
  // Replaces the default message of the refusal if not empty.
  std::string_view detail;
  stream_spec order;
  admission_ticket ticket;
  // The memory of the request.
  request_share memory;
};

prepared_stream MakeRefused(const refusal& why, std::string_view detail = {}) {
  prepared_stream prepared;
  prepared.refused = why;
  prepared.detail = detail;
  return prepared;
}

// Makes a share hold the messages of a request, and their copy in a call to an
// engine. Returns false if there is no memory for them.
bool ResizeToRequest(request_share& memory, const chat_request& request) {
  constexpr std::size_t kCopies = 2;
  const std::size_t bytes = request.messages.size() * kCopies;
  memory.Shrink(bytes);
  return memory.TryGrow(bytes, bytes <= memory_account::kSmallBodyBytes);
}

prepared_stream Prepare(http_exchange& exchange,
                        worker& self,
                        const caller& from) {
  process_state& process = self.process();
  const time_point now = process.clock.Now();
  decoded_body body = DecodeBody(exchange.request().body());
  if (!body.request) {
    return MakeRefused({refusal_code::kMalformedRequest},
                       ErrorMessage(body.fault));
  }
  const auto target = process.FindService(body.request->service);
  if (!target || target->kind != service_kind::kModel) {
    return MakeRefused({refusal_code::kUnknownService});
  }
  const auto answer_by = AnswerDeadline(exchange, target->terms, now);
  if (!answer_by) {
    return MakeRefused(
        {refusal_code::kMalformedRequest},
        "The header X-Deadline-Ms must be a positive number of milliseconds.");
  }
  prepared_stream prepared;
  stream_spec& order = prepared.order;
  order.stream_id = self.NextStreamId();
  order.request_id =
      from.request_id.empty() ? order.stream_id : from.request_id;
  order.workspace = from.customer.name;
  order.request = std::move(*body.request);
  order.target = *target;
  order.accepted_at = now;
  order.first_token_by = deadline::After(now, target->terms.first_token_target);
  order.answer_by = *answer_by;
  prepared.memory = exchange.ReleaseBody();
  if (!ResizeToRequest(prepared.memory, order.request)) {
    return MakeRefused({refusal_code::kOverloaded, outcome::kNotRun,
                        deadline::After(now, kMemoryRetryDelay)});
  }
  admission_result admission = AdmitRequest(process, order.workspace, *target,
                                            MakeRouteRequest(order, 0), now);
  if (admission.refused) {
    return MakeRefused(*admission.refused);
  }
  prepared.ticket = std::move(admission.ticket);
  return prepared;
}

// Runs the stream independently of the caller's connection, which may be lost.
std::shared_ptr<stream_session> StartStream(worker& self,
                                            prepared_stream prepared) {
  auto session = std::make_shared<stream_session>(self.context().get_executor(),
                                                  std::move(prepared.order));
  session->HoldMemory(std::move(prepared.memory));
  self.AddStream(session);
  ++self.metrics().accepted;
  net::co_spawn(self.context(), RunStream(self, session), net::detached);
  net::co_spawn(self.context(), HoldTicket(session, std::move(prepared.ticket)),
                net::detached);
  return session;
}

// Answers a caller that did not request streaming, once the stream has ended.
awaitable<void> AwaitAndWriteWholeAnswer(
    http_exchange& exchange,
    std::shared_ptr<stream_session> session) {
  co_await AwaitEnd(session);
  if (session->phase() == stream_phase::kComplete) {
    co_await WriteWholeAnswer(exchange, session);
  } else if (session->phase() == stream_phase::kHandedOver) {
    exchange.Abort();
  } else {
    co_await RespondRefusal(exchange, *session->failure(),
                            session->order().request_id, steady_source().Now());
  }
}

// Fetches a whole answer from the instance that a stream was handed over to. If
// it does not arrive before this instance stops, the caller is redirected
// there.
awaitable<void> FetchWholeAnswer(http_exchange& exchange,
                                 worker& self,
                                 std::shared_ptr<stream_session> session) {
  const std::string target =
      std::string(kStreamsPath) + session->order().stream_id + "?whole=1";
  const deadline until =
      self.process().drain.until().Earlier(session->order().answer_by);
  const deadline fetch_until(until.at() - kRedirectMargin);
  const proxy_result end = co_await ProxyStream(
      exchange, self, std::string(session->holder()), target, fetch_until);
  if (end == proxy_result::kNothingSent) {
    const std::array<http_header, 1> headers = {{{"Location", target}}};
    co_await exchange.Respond(http_status::see_other, "application/json", "{}",
                              headers);
  }
}

// Returns the index after the one in Last-Event-ID ("<stream>:<n>"), or 0 if
// the header is absent or malformed.
std::uint32_t NextTokenIndex(std::string_view last_event_id) {
  const std::size_t colon = last_event_id.rfind(':');
  if (colon == std::string_view::npos) {
    return 0;
  }
  const std::string_view digits = last_event_id.substr(colon + 1);
  std::uint32_t last = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), last);
  return error == std::errc() && last < UINT32_MAX ? last + 1 : 0;
}

}  // namespace

awaitable<void> chat_handler::Complete(http_exchange& exchange,
                                       worker& self,
                                       const caller& from) {
  prepared_stream prepared = Prepare(exchange, self, from);
  if (prepared.refused) {
    ++self.metrics().refused;
    co_await RespondRefusal(exchange, *prepared.refused, from.request_id,
                            self.process().clock.Now(), prepared.detail);
    co_return;
  }
  const bool wants_stream = prepared.order.request.stream;
  const auto session = StartStream(self, std::move(prepared));
  if (wants_stream) {
    co_await AwaitFirstToken(session);
  } else {
    co_await AwaitEnd(session);
  }
  if (session->phase() == stream_phase::kHandedOver && !wants_stream) {
    co_await FetchWholeAnswer(exchange, self, session);
    co_return;
  }
  const bool failed_before_answer = session->phase() == stream_phase::kFailed &&
                                    (!wants_stream || session->tokens() == 0);
  if (failed_before_answer) {
    co_await RespondRefusal(exchange, *session->failure(),
                            session->order().request_id,
                            self.process().clock.Now());
  } else if (wants_stream) {
    co_await WriteEvents(exchange, session, 0);
  } else {
    co_await WriteWholeAnswer(exchange, session);
  }
}

awaitable<bool> chat_handler::ResumeLocal(http_exchange& exchange,
                                          const caller& from,
                                          std::string_view stream_id,
                                          std::string& moved_to) {
  const std::uint32_t next = NextTokenIndex(exchange.Header("Last-Event-ID"));
  const bool whole = exchange.Query("whole") == "1";
  for (const std::unique_ptr<worker>& holder : workers_) {
    // The session belongs to its worker's thread, so the events are written
    // from there while this coroutine waits.
    const bool served = co_await net::co_spawn(
        holder->context(),
        [&]() -> awaitable<bool> {
          auto session = holder->FindStream(stream_id);
          if (!session || session->order().workspace != from.customer.name) {
            co_return false;
          }
          if (session->phase() == stream_phase::kHandedOver) {
            moved_to = session->holder();
            co_return false;
          }
          if (whole) {
            co_await AwaitAndWriteWholeAnswer(exchange, session);
          } else {
            co_await WriteEvents(exchange, session, next);
          }
          co_return true;
        },
        net::use_awaitable);
    if (served) {
      co_return true;
    }
  }
  co_return false;
}

awaitable<resume_result> chat_handler::ResumeRemote(http_exchange& exchange,
                                                    worker& self,
                                                    std::string_view stream_id,
                                                    std::string holder) {
  // A request that another entry instance proxied is not proxied again, so that
  // two instances that name each other as holder cannot form a loop.
  if (!exchange.Header(kProxiedHeader).empty()) {
    co_return resume_result::kUnknownStream;
  }
  const deadline until =
      deadline::After(self.process().clock.Now(), kResumeProxyTimeout);
  if (holder.empty()) {
    holder = (co_await LocateStream(self, std::string(stream_id))).value_or("");
  }
  if (holder.empty()) {
    co_return resume_result::kUnknownStream;
  }
  const proxy_result end = co_await ProxyStream(
      exchange, self, std::move(holder), std::string(exchange.target()), until);
  co_return end == proxy_result::kNothingSent
      ? resume_result::kHolderUnresponsive
      : resume_result::kServed;
}

awaitable<void> chat_handler::Resume(http_exchange& exchange,
                                     worker& self,
                                     const caller& from,
                                     std::string_view stream_id) {
  resume_result end = resume_result::kHolderUnresponsive;
  for (int i = 0;
       i < kMaxResumeAttempts && end == resume_result::kHolderUnresponsive;
       ++i) {
    std::string moved_to;
    if (co_await ResumeLocal(exchange, from, stream_id, moved_to)) {
      co_return;
    }
    end = co_await ResumeRemote(exchange, self, stream_id, std::move(moved_to));
    if (end == resume_result::kHolderUnresponsive) {
      co_await Pause(kResumeRetryDelay);
    }
  }
  std::string moved_to;
  // The stream may have been handed over to this instance meanwhile.
  if (end == resume_result::kServed ||
      co_await ResumeLocal(exchange, from, stream_id, moved_to)) {
    co_return;
  }
  co_await RespondRefusal(exchange,
                          {refusal_code::kUnknownStream, outcome::kUnknown},
                          from.request_id, self.process().clock.Now());
}

}  // namespace anvilloom
