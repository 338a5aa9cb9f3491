#include "entry/refusal_reply.h"

#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace anvilloom {

namespace {

namespace json = boost::json;

http_status StatusOf(refusal_code code) {
  switch (code) {
    case refusal_code::kMalformedRequest:
    case refusal_code::kMissingIdempotencyKey:
      return http_status::bad_request;
    case refusal_code::kUnauthenticated:
      return http_status::unauthorized;
    case refusal_code::kUnknownService:
    case refusal_code::kUnknownStream:
      return http_status::not_found;
    case refusal_code::kIdempotencyKeyReused:
      return http_status::unprocessable_entity;
    case refusal_code::kWorkspaceLimit:
      return http_status::too_many_requests;
    case refusal_code::kOverloaded:
    case refusal_code::kNoUpstream:
    case refusal_code::kStoreUnavailable:
    case refusal_code::kShuttingDown:
    case refusal_code::kNoConfiguration:
      return http_status::service_unavailable;
    case refusal_code::kDeadlineExceeded:
      return http_status::gateway_timeout;
    case refusal_code::kUpstreamFailed:
    case refusal_code::kIncompleteAnswer:
    case refusal_code::kOutcomeUnknown:
      return http_status::bad_gateway;
  }
  return http_status::internal_server_error;
}

// Whole seconds until the retry, rounded up, as Retry-After requires.
std::string RetryAfterSeconds(deadline retry_at, time_point now) {
  const auto wait =
      std::chrono::ceil<std::chrono::seconds>(retry_at.Remaining(now));
  return std::to_string(wait.count());
}

}  // namespace

std::string EncodeRefusal(const refusal& reason,
                          std::string_view request_id,
                          std::string_view detail) {
  const std::string_view message =
      detail.empty() ? ErrorMessage(reason.code) : detail;
  const json::value encoded = {{"error",
                                {{"code", std::string(Name(reason.code))},
                                 {"outcome", std::string(Name(reason.ran))},
                                 {"message", std::string(message)},
                                 {"request_id", std::string(request_id)}}}};
  return json::serialize(encoded);
}

awaitable<bool> RespondRefusal(http_exchange& exchange,
                               const refusal& reason,
                               std::string_view request_id,
                               time_point now,
                               std::string_view detail) {
  const std::string body = EncodeRefusal(reason, request_id, detail);
  if (!reason.retry_at) {
    co_return co_await exchange.Respond(StatusOf(reason.code),
                                        "application/json", body);
  }
  const std::string wait = RetryAfterSeconds(*reason.retry_at, now);
  const std::array<http_header, 1> headers = {{{"Retry-After", wait}}};
  co_return co_await exchange.Respond(StatusOf(reason.code), "application/json",
                                      body, headers);
}

}  // namespace anvilloom
