#include "contracts/outcome.h"

#include <array>
#include <cstddef>

namespace anvilloom {

namespace {

struct refusal_text {
  std::string_view name;
  std::string_view sentence;
};

// Indexed by refusal_code.
constexpr std::array<refusal_text, 16> kRefusalTexts = {{
    {"malformed_request", "The request is malformed."},
    {"unauthenticated", "The credential is missing or not known."},
    {"unknown_service", "No service with this name is configured."},
    {"unknown_stream", "No stream with this id is held by the system."},
    {"missing_idempotency_key",
     "This service needs an Idempotency-Key header, because its calls may not "
     "be repeated."},
    {"idempotency_key_reused",
     "The idempotency key was already used with a different request."},
    {"workspace_limit", "The limit of the workspace is reached."},
    {"overloaded",
     "The service has no capacity left within the latency target."},
    {"no_upstream", "No upstream can take this request."},
    {"deadline_exceeded", "The deadline passed before an answer was ready."},
    {"upstream_failed", "The upstream failed."},
    {"incomplete_answer", "The upstream's answer was incomplete."},
    {"outcome_unknown",
     "The request was sent, but it is not known whether it ran. It will not be "
     "sent again."},
    {"store_unavailable", "The claim store could not be read or written."},
    {"shutting_down", "This entry instance is shutting down."},
    {"no_configuration", "This entry instance has no configuration yet."},
}};

}  // namespace

std::string_view Name(outcome value) {
  switch (value) {
    case outcome::kNotRun:
      return "not_run";
    case outcome::kUnknown:
      return "unknown";
    case outcome::kRan:
      return "ran";
  }
  return "unknown";
}

std::string_view Name(refusal_code value) {
  return kRefusalTexts[static_cast<std::size_t>(value)].name;
}

std::string_view ErrorMessage(refusal_code value) {
  return kRefusalTexts[static_cast<std::size_t>(value)].sentence;
}

}  // namespace anvilloom
