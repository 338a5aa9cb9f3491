// Defines RefuseUnattempted, which chooses the response to a caller whose
// operation is not attempted because a limit refuses it.
#ifndef CONTRACTS_CLAIM_REFUSAL_H_
#define CONTRACTS_CLAIM_REFUSAL_H_

#include <string_view>

#include "contracts/claim.h"

namespace anvilloom {

// `reading` is the result of reading the operation's claim, and `reason` the
// refusal of the limit. The response says "not run" only if no earlier attempt
// can have sent the operation: a duplicate gets the stored answer, and the
// outcome is unknown if another attempt may have sent the operation or the
// claim could not be read.
claim_response RefuseUnattempted(const claim_read_result& reading,
                                 std::string_view request_digest,
                                 const refusal& reason);

}  // namespace anvilloom

#endif  // CONTRACTS_CLAIM_REFUSAL_H_
