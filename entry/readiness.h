// Defines RespondReadiness, which tells a load balancer whether this instance
// accepts new requests.
#ifndef ENTRY_READINESS_H_
#define ENTRY_READINESS_H_

#include <string_view>

#include "entry/process_state.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Served on both ports.
inline constexpr std::string_view kReadyPath = "/readyz";

// Responds with 200, or with 503 if the load balancer must not send new
// requests.
awaitable<void> RespondReadiness(http_exchange& exchange,
                                 const process_state& process);

}  // namespace anvilloom

#endif  // ENTRY_READINESS_H_
