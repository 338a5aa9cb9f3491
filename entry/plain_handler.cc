#include "entry/plain_handler.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "contracts/claim_refusal.h"
#include "entry/admission_gate.h"
#include "entry/chosen_upstream.h"
#include "entry/claim_owners.h"
#include "entry/claim_runner.h"
#include "entry/refusal_reply.h"

namespace anvilloom {

namespace {

// Maximum attempts at one repeatable call, the first included.
constexpr std::uint32_t kMaxAttempts = 3;

// Whether the retry budget allows a repeatable call that may have run to be
// sent again.
bool MayRepeat(process_state& process, deadline answer_by) {
  retry_request request;
  request.repeatable = true;
  request.answer_by = answer_by;
  return process.retries.RequestRetry(request, process.clock.Now()) ==
         retry_verdict::kRetry;
}

admission_result AdmitCall(process_state& process,
                           const caller& from,
                           const service& target,
                           deadline answer_by) {
  route_request routing;
  routing.answer_by = answer_by;
  return AdmitRequest(process, from.customer.name, target, routing,
                      process.clock.Now());
}

std::string ContentType(const http_response& answer) {
  const auto type = answer.find(boost::beast::http::field::content_type);
  return type == answer.end() ? "application/octet-stream"
                              : std::string(type->value());
}

// Returns a request that views the body of the caller's.
http_request_view MakeForwarded(const http_exchange& exchange,
                                std::string_view path) {
  http_request_view forwarded = MakeRequestView(
      exchange.request().method(), path, exchange.request().body(),
      exchange.Header("Content-Type"));
  const std::string_view key = exchange.Header("Idempotency-Key");
  if (!key.empty()) {
    forwarded.set("Idempotency-Key", key);
  }
  return forwarded;
}

// Time reserved before the deadline to send the response to the caller.
duration ReplyMargin(duration left) {
  constexpr duration kMaxMargin = std::chrono::milliseconds(100);
  constexpr int kRemainingTimeDivisor = 10;
  return std::min(kMaxMargin, left / kRemainingTimeDivisor);
}

// An answer for which this instance has no memory is no fault of the upstream.
void RecordFailure(link& path, const transfer_failure& failure) {
  if (failure.error != transfer_error::kTooLarge) {
    path.RecordFailure();
  }
}

// Sends one claimed request. Tries another upstream only while no byte can have
// reached the previous one. Satisfies request_sender.
class claimed_request_sender {
 public:
  claimed_request_sender(worker& self,
                         const service& target,
                         http_request_view request,
                         answer_share& memory,
                         deadline answer_by)
      : self_(self),
        target_(target),
        request_(std::move(request)),
        memory_(memory),
        answer_by_(answer_by) {}

  awaitable<claim_send_result> operator()(deadline send_by) {
    shared_links failed_links;
    claim_send_failure failure{false, refusal_code::kNoUpstream};
    while (!failure.sent && !send_by.Expired(self_.process().clock.Now())) {
      auto chosen =
          ChooseUpstream(self_.process(), target_, answer_by_, failed_links);
      if (!chosen) {
        break;
      }
      auto answer = co_await self_.client().Exchange(
          chosen->address, request_, memory_, answer_by_,
          connection_use::kFresh, send_by);
      chosen->place.Release();
      if (answer) {
        chosen->path->RecordSuccess();
        co_return claim_answer{answer->result_int(), ContentType(*answer),
                               std::move(answer->body())};
      }
      RecordFailure(*chosen->path, answer.error());
      failed_links.push_back(chosen->path);
      failure = {answer.error().sent, refusal_code::kUpstreamFailed};
    }
    co_return failure;
  }

 private:
  worker& self_;
  const service& target_;
  http_request_view request_;
  answer_share& memory_;
  deadline answer_by_;
};

static_assert(request_sender<claimed_request_sender>);

awaitable<void> RespondVerdict(http_exchange& exchange,
                               const claim_response& verdict,
                               std::string_view request_id,
                               time_point now) {
  if (const auto* returned = std::get_if<return_answer>(&verdict)) {
    co_await exchange.Respond(static_cast<http_status>(returned->answer.status),
                              returned->answer.content_type,
                              returned->answer.body);
    co_return;
  }
  co_await RespondRefusal(exchange, std::get<return_refusal>(verdict).reason,
                          request_id, now);
}

}  // namespace

awaitable<void> plain_handler::Forward(http_exchange& exchange,
                                       worker& self,
                                       const caller& from,
                                       std::string_view service_name,
                                       std::string_view path) {
  process_state& process = self.process();
  const time_point now = process.clock.Now();
  const auto target = process.FindService(service_name);
  if (!target || target->kind != service_kind::kPlain) {
    ++self.metrics().refused;
    co_await RespondRefusal(exchange, {refusal_code::kUnknownService},
                            from.request_id, now);
    co_return;
  }
  const auto answer_by = AnswerDeadline(exchange, target->terms, now);
  if (!answer_by) {
    ++self.metrics().refused;
    co_await RespondRefusal(exchange, {refusal_code::kMalformedRequest},
                            from.request_id, now);
    co_return;
  }
  if (target->terms.repeatable) {
    co_await ForwardRepeatable(exchange, self, from, *target, path, *answer_by);
  } else {
    co_await ForwardClaimed(exchange, self, from, *target, path, *answer_by);
  }
}

awaitable<void> plain_handler::ForwardRepeatable(http_exchange& exchange,
                                                 worker& self,
                                                 const caller& from,
                                                 const service& target,
                                                 std::string_view path,
                                                 deadline answer_by) {
  process_state& process = self.process();
  const admission_result admission =
      AdmitCall(process, from, target, answer_by);
  if (admission.refused) {
    ++self.metrics().refused;
    co_await RespondRefusal(exchange, *admission.refused, from.request_id,
                            process.clock.Now());
    co_return;
  }
  ++self.metrics().accepted;
  process.retries.Request(RetryPermille(process));
  shared_links failed;
  bool sent = false;
  // Holds the memory of the answer until it has been passed on.
  answer_share memory(process.memory.answers());
  for (std::uint32_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto chosen = ChooseUpstream(process, target, answer_by, failed);
    if (!chosen) {
      break;
    }
    auto answer = co_await self.client().Exchange(
        chosen->address, MakeForwarded(exchange, path), memory, answer_by);
    chosen->place.Release();
    if (answer) {
      chosen->path->RecordSuccess();
      ++self.metrics().completed;
      co_await exchange.Respond(answer->result(), ContentType(*answer),
                                answer->body());
      co_return;
    }
    RecordFailure(*chosen->path, answer.error());
    failed.push_back(chosen->path);
    if (answer.error().error == transfer_error::kTooLarge) {
      sent = true;
      break;
    }
    sent = sent || answer.error().sent;
    // A refused connection adds no load to any upstream, so the next attempt
    // needs no retry budget.
    if (answer.error().sent && !MayRepeat(process, answer_by)) {
      break;
    }
  }
  ++self.metrics().failed;
  const refusal reason{failed.empty() ? refusal_code::kNoUpstream
                                      : refusal_code::kUpstreamFailed,
                       sent ? outcome::kUnknown : outcome::kNotRun};
  co_await RespondRefusal(exchange, reason, from.request_id,
                          process.clock.Now());
}

awaitable<void> plain_handler::ForwardClaimed(http_exchange& exchange,
                                              worker& self,
                                              const caller& from,
                                              const service& target,
                                              std::string_view path,
                                              deadline answer_by) {
  process_state& process = self.process();
  const auto operation = IdentifyOperation(exchange, from.customer, target);
  if (!operation) {
    ++self.metrics().refused;
    co_await RespondRefusal(exchange, {refusal_code::kMissingIdempotencyKey},
                            from.request_id, process.clock.Now());
    co_return;
  }
  const time_point now = process.clock.Now();
  const deadline reply_by(answer_by.at() -
                          ReplyMargin(answer_by.Remaining(now)));
  const admission_result admission =
      AdmitCall(process, from, target, answer_by);
  if (admission.refused) {
    co_await RespondWithoutSending(exchange, self, from, *operation,
                                   *admission.refused, reply_by);
    co_return;
  }
  ++self.metrics().accepted;
  http_request_view request = MakeForwarded(exchange, path);
  if (exchange.Header("Idempotency-Key").empty()) {
    request.set("Idempotency-Key", operation->name);
  }
  answer_share memory(process.memory.answers());
  claimed_request_sender send(self, target, std::move(request), memory,
                              reply_by);
  claim_runner runner(self.objects(), process.clock, claim_owners(process),
                      process.unfinished, operation->name);
  claim_identity identity{self.NextAttemptToken(), process.RunName(),
                          operation->request_digest};
  const claim_response verdict = co_await runner.Run(
      std::move(identity), claim_settings{}, reply_by, send);
  if (std::holds_alternative<return_answer>(verdict)) {
    ++self.metrics().completed;
  } else {
    ++self.metrics().failed;
  }
  co_await RespondVerdict(exchange, verdict, from.request_id,
                          process.clock.Now());
}

awaitable<void> plain_handler::RespondWithoutSending(
    http_exchange& exchange,
    worker& self,
    const caller& from,
    const operation_identity& operation,
    const refusal& reason,
    deadline reply_by) {
  ++self.metrics().refused;
  process_state& process = self.process();
  claim_runner runner(self.objects(), process.clock, claim_owners(process),
                      process.unfinished, operation.name);
  const claim_read_result reading = co_await runner.Read(reply_by);
  const claim_response verdict =
      RefuseUnattempted(reading, operation.request_digest, reason);
  co_await RespondVerdict(exchange, verdict, from.request_id,
                          process.clock.Now());
}

}  // namespace anvilloom
