// Defines the hand-over of running streams between entry instances, and the
// way by which a returning caller finds the instance that holds its stream.
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
  std::uint32_t transfer = 0;
  // HTTP address of the instance that has it now; empty if it is this one.
  std::string holder;
};

// Looks a stream up on its worker's thread.
awaitable<std::optional<held_stream>> FindHeldStream(worker& holder,
                                                     std::string stream);

// Begins to generate the rest of a stream. False if this instance cannot.
// Runs on the thread of `holder`.
bool TakeOverStream(worker& holder, const stream_handover& offered);

// Hands over the streams of a worker that will not end before `until`, and
// those that have ended but were not fetched. Returns how many streams still
// run here or are not yet known to be held by a peer. Runs on the worker's
// thread.
std::size_t HandOverStreams(worker& holder, deadline until);

// The HTTP address of the instance that holds a stream, if it is another one
// that answers in time.
awaitable<std::optional<std::string>> LocateStream(worker& self,
                                                   std::string stream);

// How far a proxied answer has come.
enum class proxy_end { kNothingSent, kComplete, kBroken };

// Passes the answer of another entry instance on to the caller.
awaitable<proxy_end> ProxyStream(http_exchange& exchange,
                                 worker& self,
                                 std::string holder_address,
                                 std::string target,
                                 deadline until);

// Marks a request that one entry instance sends to another, so that it is not
// passed on again.
inline constexpr std::string_view kProxiedHeader = "X-Anvilloom-Proxied";

}  // namespace anvilloom

#endif  // ENTRY_STREAM_HANDOVER_H_
