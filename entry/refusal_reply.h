// Defines EncodeRefusal and RespondRefusal, which encode a typed refusal for
// callers.
#ifndef ENTRY_REFUSAL_REPLY_H_
#define ENTRY_REFUSAL_REPLY_H_

#include <string>
#include <string_view>

#include "common/time.h"
#include "contracts/outcome.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Encodes {"error":{"code","outcome","message","request_id"}}. `detail`
// replaces the default message if not empty.
std::string EncodeRefusal(const refusal& reason,
                          std::string_view request_id,
                          std::string_view detail = {});

// Responds with the refusal's status, and with Retry-After if the refusal has a
// retry time.
awaitable<bool> RespondRefusal(http_exchange& exchange,
                               const refusal& reason,
                               std::string_view request_id,
                               time_point now,
                               std::string_view detail = {});

}  // namespace anvilloom

#endif  // ENTRY_REFUSAL_REPLY_H_
