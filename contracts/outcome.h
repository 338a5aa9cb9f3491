// Defines outcome, which tells a caller whether its request ran, and refusal,
// the reason for which a request is not answered.
#ifndef CONTRACTS_OUTCOME_H_
#define CONTRACTS_OUTCOME_H_

#include <optional>
#include <string_view>

#include "common/time.h"

namespace anvilloom {

// Whether a request ran at an upstream.
enum class outcome {
  kNotRun,   // It did not run and will not run.
  kUnknown,  // It may have run; it is not sent again.
  kRan,      // It ran.
};

// Why a request was refused or failed.
enum class refusal_code {
  kMalformedRequest,
  kUnauthenticated,
  kUnknownService,
  kUnknownStream,
  kMissingIdempotencyKey,
  kIdempotencyKeyReused,
  kWorkspaceLimit,
  kOverloaded,
  kNoUpstream,
  kDeadlineExceeded,
  kUpstreamFailed,
  kIncompleteAnswer,
  kOutcomeUnknown,
  kStoreUnavailable,
  kShuttingDown,
  // The credential cannot be checked yet.
  kNoConfiguration,
};

// A refusal with the information that a caller needs to handle it.
struct refusal {
  refusal_code code;
  outcome ran = outcome::kNotRun;
  // The earliest time at which a retry may succeed, if known.
  std::optional<deadline> retry_at = std::nullopt;
};

// Stable lower-case name used in error bodies, for example "not_run".
std::string_view Name(outcome value);
// Stable lower-case name used in error bodies, for example "overloaded".
std::string_view Name(refusal_code value);
// The error message for people, one or more full sentences.
std::string_view ErrorMessage(refusal_code value);

}  // namespace anvilloom

#endif  // CONTRACTS_OUTCOME_H_
