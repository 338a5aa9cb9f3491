// Defines RefuseUnsent, which decides what a caller is told whose operation is
// not attempted, because a limit refuses it.
#ifndef CONTRACTS_CLAIM_REFUSAL_H_
#define CONTRACTS_CLAIM_REFUSAL_H_

#include <string_view>

#include "contracts/claim.h"

namespace anvilloom {

// `reading` is the operation's claim. "Not run" is said only if no earlier
// attempt can have sent the operation: a duplicate gets the stored answer, and
// where another attempt may have sent, or the claim could not be read, the
// outcome is unknown. Otherwise the refusal is `why`.
claim_verdict RefuseUnsent(const claim_reading& reading,
                           std::string_view request_digest,
                           const refusal& why);

}  // namespace anvilloom

#endif  // CONTRACTS_CLAIM_REFUSAL_H_
