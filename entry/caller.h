// Defines caller, the sender of a request, and IdentifyCaller, which determines
// it from the credential.
#ifndef ENTRY_CALLER_H_
#define ENTRY_CALLER_H_

#include <optional>
#include <string>

#include "contracts/workspace.h"
#include "entry/process_state.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Copied out of the topology, so it stays valid when the topology changes.
struct caller {
  workspace customer;
  // The caller's X-Request-Id, or empty.
  std::string request_id;
};

// Returns the X-Request-Id header, or an empty string if it is absent, too long
// or not printable ASCII. The id is written into answers and logs.
std::string ValidRequestId(const http_exchange& exchange);

// Returns nothing if the bearer credential is missing or unknown.
std::optional<caller> IdentifyCaller(const process_state& process,
                                     const http_exchange& exchange);

// Returns the deadline of a request: the service's answer limit, or the
// caller's X-Deadline-Ms (milliseconds from now) if that is earlier. Returns
// nothing if the header is not a positive whole number.
std::optional<deadline> AnswerDeadline(const http_exchange& exchange,
                                       const contract& terms,
                                       time_point now);

}  // namespace anvilloom

#endif  // ENTRY_CALLER_H_
