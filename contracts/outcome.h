// Defines outcome, what a caller is told about whether its request ran, and
// refusal, the typed reasons for which a request is not answered.
#ifndef CONTRACTS_OUTCOME_H_
#define CONTRACTS_OUTCOME_H_

#include <optional>
#include <string_view>

#include "common/time.h"

namespace anvilloom {

// Whether a request ran at an upstream.
enum class outcome {
  kNotRun,   // It did not run and will not run.
  kUnknown,  // It may have run; anvilloom does not send it again.
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
  // Whether the credential is known can't be told yet.
  kNoConfiguration,
};

// A refusal with what the caller needs to act on it.
struct refusal {
  refusal_code code;
  outcome ran = outcome::kNotRun;
  // Earliest time at which a repeat may succeed, where that is known.
  std::optional<deadline> retry_at = std::nullopt;
};

// Stable lower-case name used in error bodies, for example "not_run".
std::string_view Name(outcome value);
// Stable lower-case name used in error bodies, for example "overloaded".
std::string_view Name(refusal_code value);
// A full sentence for people.
std::string_view Sentence(refusal_code value);

}  // namespace anvilloom

#endif  // CONTRACTS_OUTCOME_H_
