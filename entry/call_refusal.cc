#include "entry/call_refusal.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "common/random.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

constexpr std::string_view kJson = "application/json";
// A retry after a shorter delay would be refused for the same reason.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(50);

std::string_view Message(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoManifest:
      return "This instance has no configuration yet.";
    case refusal_reason::kManifestInDoubt:
      return "This instance may have an old configuration.";
    case refusal_reason::kNoRoute:
      return "No route leads to this path.";
    case refusal_reason::kUnknownKey:
      return "The key is missing or not known.";
    case refusal_reason::kOverLimit:
      return "The limit of the workspace is used up.";
    case refusal_reason::kNoUpstream:
      return "No upstream can take the request.";
    case refusal_reason::kOverload:
      return "The upstreams are too busy to answer in time.";
    case refusal_reason::kNotRun:
      return "Every upstream that was asked turned the request away.";
    case refusal_reason::kBlockedPart:
      return "A part of the prompt has crashed several upstreams.";
    case refusal_reason::kStopping:
      return "This instance is about to stop.";
  }
  return "";
}

std::string EncodeErrorBody(std::string_view code,
                            std::string_view outcome,
                            std::string_view message,
                            std::string_view request_id) {
  return json::serialize(
      json::object{{"error",
                    {{"code", std::string(code)},
                     {"outcome", std::string(outcome)},
                     {"message", std::string(message)},
                     {"request_id", std::string(request_id)}}}});
}

std::string RetryAfterSeconds(const call_refusal& refusal) {
  const duration base = std::max(refusal.retry_after, kMinRetryDelay);
  const double jitter =
      refusal.is_spread ? 0 : split_mix(thread_random().Next()).NextUnit() / 2;
  const double seconds = static_cast<double>(base.count()) * (1 + jitter) / 1e6;
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", seconds);
  return text;
}

}  // namespace

http_status Status(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoRoute:
      return http_status::not_found;
    case refusal_reason::kUnknownKey:
      return http_status::unauthorized;
    case refusal_reason::kOverLimit:
      return http_status::too_many_requests;
    default:
      return http_status::service_unavailable;
  }
}

std::string_view Name(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoManifest:
      return "no_manifest";
    case refusal_reason::kManifestInDoubt:
      return "manifest_in_doubt";
    case refusal_reason::kNoRoute:
      return "no_route";
    case refusal_reason::kUnknownKey:
      return "unknown_key";
    case refusal_reason::kOverLimit:
      return "over_limit";
    case refusal_reason::kNoUpstream:
      return "no_upstream";
    case refusal_reason::kOverload:
      return "overload";
    case refusal_reason::kNotRun:
      return "turned_away";
    case refusal_reason::kBlockedPart:
      return "blocked_part";
    case refusal_reason::kStopping:
      return "stopping";
  }
  return "unknown";
}

bool IsDenial(refusal_reason reason) {
  return reason == refusal_reason::kNoRoute ||
         reason == refusal_reason::kUnknownKey;
}

std::string_view Name(attempt_end end) {
  switch (end) {
    case attempt_end::kAnswered:
      return "answered";
    case attempt_end::kServerError:
      return "server_error";
    case attempt_end::kNotSent:
      return "not_sent";
    case attempt_end::kNotRun:
      return "not_run";
    case attempt_end::kLost:
      return "lost";
    case attempt_end::kTimedOut:
      return "timed_out";
    case attempt_end::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

std::string_view Name(transfer_error error) {
  switch (error) {
    case transfer_error::kBadAddress:
      return "bad_address";
    case transfer_error::kRefused:
      return "refused";
    case transfer_error::kTimedOut:
      return "timed_out";
    case transfer_error::kClosed:
      return "closed";
    case transfer_error::kMalformed:
      return "malformed";
    case transfer_error::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

std::string_view Name(next_step step) {
  switch (step) {
    case next_step::kDeliver:
      return "deliver";
    case next_step::kRepeat:
      return "repeat";
    case next_step::kRefuse:
      return "refuse";
    case next_step::kFail:
      return "fail";
    case next_step::kTimeOut:
      return "time_out";
    case next_step::kAbandon:
      return "abandon";
  }
  return "unknown";
}

std::string_view Name(admission_verdict verdict) {
  switch (verdict) {
    case admission_verdict::kAdmit:
      return "admit";
    case admission_verdict::kProbe:
      return "probe";
    case admission_verdict::kLate:
      return "late";
    case admission_verdict::kYield:
      return "yield";
    case admission_verdict::kPrecedence:
      return "precedence";
    case admission_verdict::kOverShare:
      return "over_share";
  }
  return "unknown";
}

awaitable<void> RespondRefused(http_exchange& exchange,
                               std::string_view id_header,
                               std::string_view request_id,
                               const call_refusal& refusal) {
  const std::string body = EncodeErrorBody(Name(refusal.reason), "not_run",
                                           Message(refusal.reason), request_id);
  std::vector<http_header> headers = {{id_header, request_id}};
  const std::string retry_after = RetryAfterSeconds(refusal);
  if (!IsDenial(refusal.reason)) {
    headers.push_back({"Retry-After", retry_after});
  }
  co_await exchange.Respond(Status(refusal.reason), kJson, body, headers);
}

awaitable<void> RespondFailed(http_exchange& exchange,
                              std::string_view id_header,
                              std::string_view request_id,
                              http_status status) {
  const std::string body = EncodeErrorBody(
      status == http_status::gateway_timeout ? "timed_out" : "failed",
      "unknown", "The request may have run.", request_id);
  const std::vector<http_header> headers = {{id_header, request_id}};
  co_await exchange.Respond(status, kJson, body, headers);
}

}  // namespace anvilloom
