// Defines the decoder of an engine's load report, the JSON body of GET /load,
// and the parts that it shares with load summaries between entry instances.
#ifndef WIRE_LOAD_CODEC_H_
#define WIRE_LOAD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "links/link.h"
#include "wire/peer_message.h"

namespace anvilloom {

// Returns nullopt if a value is out of range.
std::optional<load_report> MakeLoadReport(std::uint64_t running,
                                          std::uint64_t waiting,
                                          std::uint64_t cache_permille);

// An engine's response to GET /load.
struct polled_load {
  load_report report;
  // Hash64 of the model version; zero if the engine reports none.
  std::uint64_t version = 0;
};

// Returns nullopt if the text is not a load report or a value is out of range.
std::optional<polled_load> DecodeLoad(std::string_view text);

// Returns the id of an upstream in load summaries. Among the 1,800 engines of
// the target deployment, the probability of a collision is 4 in 10,000; a
// summary then updates only one of the colliding engines.
std::uint32_t ShortUpstreamId(std::uint64_t name_hash);

}  // namespace anvilloom

#endif  // WIRE_LOAD_CODEC_H_
