// Defines call_refusal, the reason why a call is not forwarded, and the error
// responses that this instance generates itself.
#ifndef ENTRY_CALL_REFUSAL_H_
#define ENTRY_CALL_REFUSAL_H_

#include <cstdint>
#include <string_view>

#include "common/time.h"
#include "links/attempt_policy.h"
#include "links/first_token_admission.h"
#include "wire/http_exchange.h"
#include "wire/transfer.h"

namespace anvilloom {

enum class refusal_reason : std::uint8_t {
  kNoManifest,       // This instance has not received a manifest yet.
  kManifestInDoubt,  // A newer manifest may allow the call.
  kNoRoute,
  kUnknownKey,
  kOverLimit,    // The workspace's limit is used up.
  kNoUpstream,   // No upstream of the service can be used.
  kOverload,     // The call would wait for longer than its latency target.
  kNotRun,       // Every upstream that was tried refused the call.
  kBlockedPart,  // A part of the prompt has crashed several upstreams.
  kStopping,     // The call might not be answered before the process ends.
};

struct call_refusal {
  refusal_reason reason = refusal_reason::kNoUpstream;
  // Time until the caller may retry, in microseconds.
  duration retry_after{0};
  // Whether the time already differs between callers, so that RespondRefused()
  // must not extend it.
  bool is_spread = false;
};

// The manifest arrives within a few hundred milliseconds of a start.
inline constexpr duration kManifestRetryDelay = std::chrono::milliseconds(300);
// A full or departed upstream is replaced by another within this time.
inline constexpr duration kNoUpstreamRetryDelay =
    std::chrono::milliseconds(250);

// Another instance takes the call; the load balancer sends this one no more
// connections by then.
inline constexpr duration kStoppingRetryDelay = std::chrono::milliseconds(50);

http_status Status(refusal_reason reason);
std::string_view Name(refusal_reason reason);
// Whether the caller is at fault, so that a retry does not help.
bool IsDenial(refusal_reason reason);

std::string_view Name(attempt_end end);
std::string_view Name(transfer_error error);
std::string_view Name(next_step step);
std::string_view Name(admission_verdict verdict);

// Responds to a call that did not run and will not run later. Adds up to half
// of the delay to Retry-After at random, so that callers do not retry all at
// once, unless the delays are spread already.
awaitable<void> RespondRefused(http_exchange& exchange,
                               std::string_view id_header,
                               std::string_view request_id,
                               const call_refusal& refusal);

// Responds to a call that may have run.
awaitable<void> RespondFailed(http_exchange& exchange,
                              std::string_view id_header,
                              std::string_view request_id,
                              http_status status);

}  // namespace anvilloom

#endif  // ENTRY_CALL_REFUSAL_H_
