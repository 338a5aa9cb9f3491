// Defines RespondRefusal and EncodeRefusal, the form in which callers see a
// typed refusal.
#ifndef ENTRY_REFUSAL_REPLY_H_
#define ENTRY_REFUSAL_REPLY_H_

#include <string>
#include <string_view>

#include "common/time.h"
#include "contracts/outcome.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// {"error":{"code","outcome","message","request_id"}}. `detail` replaces the
// general sentence where it is not empty.
std::string EncodeRefusal(const refusal& why,
                          std::string_view request_id,
                          std::string_view detail = {});

// Answers with the refusal's status, and Retry-After where it helps.
awaitable<bool> RespondRefusal(http_exchange& exchange,
                               const refusal& why,
                               std::string_view request_id,
                               time_point now,
                               std::string_view detail = {});

}  // namespace anvilloom

#endif  // ENTRY_REFUSAL_REPLY_H_
