// Defines the handover of running streams between entry instances, and the
// lookup by which a reconnecting caller reaches the instance that holds its
// stream.
#ifndef ENTRY_STREAM_HANDOVER_H_
#define ENTRY_STREAM_HANDOVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "entry/stream_session.h"
#include "entry/worker.h"
#include "wire/http_exchange.h"
#include "wire/peer_message.h"

namespace anvilloom {

// A stream that this instance holds or has handed over.
struct held_stream {
  // Number of offers of the stream so far. The instance with the highest number
  // knows the current holder.
  std::uint32_t transfer = 0;
  // HTTP address of the instance that holds it now; empty if it is this one.
  std::string holder;
};

// Looks up a stream on its worker's thread.
awaitable<std::optional<held_stream>> FindHeldStream(worker& holder,
                                                     std::string stream);

// Begins to generate the rest of a stream. Returns false if this instance
// cannot. Must be called on the thread of `holder`.
bool TakeOverStream(worker& holder, const stream_handover& offered);

// Hands over the streams of a worker that will not end before `until`, and
// those that have ended but were not fetched. Returns the number of streams
// that still run here or whose new holder is not confirmed. Must be called on
// the worker's thread.
std::size_t HandOverStreams(worker& holder, deadline until);

// Returns the HTTP address of the other instance that holds a stream, or
// nothing if none answers in time.
awaitable<std::optional<std::string>> LocateStream(worker& self,
                                                   std::string stream);

// How much of a proxied answer was forwarded.
enum class proxy_result { kNothingSent, kComplete, kBroken };

// Forwards the answer of another entry instance to the caller.
awaitable<proxy_result> ProxyStream(http_exchange& exchange,
                                    worker& self,
                                    std::string holder_address,
                                    std::string target,
                                    deadline until);

// Marks a request that one entry instance sends to another, so that it is not
// proxied again.
inline constexpr std::string_view kProxiedHeader = "X-Anvilloom-Proxied";

}  // namespace anvilloom

#endif  // ENTRY_STREAM_HANDOVER_H_
