// Defines caller, who sent a request, and IdentifyCaller, which finds out from
// the credential.
#ifndef ENTRY_CALLER_H_
#define ENTRY_CALLER_H_

#include <optional>
#include <string>

#include "contracts/workspace.h"
#include "entry/process_state.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// The sender of a request. Copied out of the topology.
struct caller {
  workspace customer;
  // The caller's X-Request-Id, or empty.
  std::string request_id;
};

// The X-Request-Id header; empty if it is absent, too long or not printable
// ASCII, because it is written into answers and logs.
std::string UsableRequestId(const http_exchange& exchange);

// Nothing if the bearer credential is missing or not known.
std::optional<caller> IdentifyCaller(const process_state& process,
                                     const http_exchange& exchange);

// The deadline of a request: the service's answer limit, or the caller's
// X-Deadline-Ms (milliseconds from now) if that is earlier. Nothing if the
// header is not a positive whole number.
std::optional<deadline> AnswerDeadline(const http_exchange& exchange,
                                       const contract& terms,
                                       time_point now);

}  // namespace anvilloom

#endif  // ENTRY_CALLER_H_
