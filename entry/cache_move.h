// Defines MoveCache, which carries the KV cache of a running generation from
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
// The handle for the resumed request; nothing if either engine refuses, as a
// target of another model version does, or `until` passes. The generation at
// the source runs on meanwhile.
awaitable<std::optional<std::string>> MoveCache(http_client& client,
                                                const std::string& source,
                                                const std::string& target,
                                                std::string_view request_id,
                                                deadline until);

}  // namespace anvilloom

#endif  // ENTRY_CACHE_MOVE_H_
