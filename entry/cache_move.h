// Defines MoveCache, which transfers the KV cache of a running generation from
// one engine to another.
#ifndef ENTRY_CACHE_MOVE_H_
#define ENTRY_CACHE_MOVE_H_

#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "wire/http_client.h"

namespace anvilloom {

// Exports the cache of `request_id` at `source` and imports it at `target`.
// Asks the target for its model version first, which must be `version`: this
// entry instance may never have had an answer from that engine, or the engine
// may have been patched since.
// Returns the handle for the resumed request, or nothing if either engine
// refuses, the versions differ or `until` passes. The generation at the source
// continues meanwhile.
awaitable<std::optional<std::string>> MoveCache(http_client& client,
                                                const std::string& source,
                                                const std::string& target,
                                                std::string_view request_id,
                                                std::string_view version,
                                                deadline until);

}  // namespace anvilloom

#endif  // ENTRY_CACHE_MOVE_H_
