// Defines call_refusal, why a call is not forwarded, and the answers that this
// instance gives itself.
#ifndef ENTRY_CALL_REFUSAL_H_
#define ENTRY_CALL_REFUSAL_H_

#include <cstdint>
#include <string_view>

#include "common/time.h"
#include "links/attempt_policy.h"
#include "wire/http_exchange.h"

namespace anvilloom {

enum class refusal_reason : std::uint8_t {
  kNoManifest,       // This instance does not know any manifest yet.
  kManifestInDoubt,  // A newer manifest may allow what this one does not.
  kNoRoute,
  kUnknownKey,
  kOverLimit,   // The workspace's limit is used up.
  kNoUpstream,  // No upstream of the service can be used.
  kOverload,    // The call would wait for longer than its latency target.
  kNotRun,      // Every upstream that was asked turned the call away.
};

struct call_refusal {
  refusal_reason reason = refusal_reason::kNoUpstream;
  // When the caller may come back, from now on, in microseconds.
  duration retry_after{0};
};

// The manifest arrives within a few hundred milliseconds of a start.
inline constexpr duration kManifestPause = std::chrono::milliseconds(300);
// An upstream that was full or left is replaced by another within this time.
inline constexpr duration kNoUpstreamPause = std::chrono::milliseconds(250);

http_status Status(refusal_reason reason);
std::string_view Name(refusal_reason reason);
// Whether the caller is at fault, so that coming back does not help.
bool IsDenial(refusal_reason reason);

std::string_view Name(attempt_end end);
std::string_view Name(next_step step);

// Answers a call that did not run and never will. Retry-After is spread over
// half of its length, so that callers do not return together.
awaitable<void> RespondRefused(http_exchange& exchange,
                               std::string_view id_header,
                               std::string_view request_id,
                               const call_refusal& refusal);

// Answers a call that may have run.
awaitable<void> RespondFailed(http_exchange& exchange,
                              std::string_view id_header,
                              std::string_view request_id,
                              http_status status);

}  // namespace anvilloom

#endif  // ENTRY_CALL_REFUSAL_H_
