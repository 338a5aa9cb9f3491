// Defines the encodings of load reports: the JSON of an engine's GET /load, and
// the packed form in which entry instances send them to each other.
#ifndef WIRE_LOAD_CODEC_H_
#define WIRE_LOAD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "links/link.h"
#include "wire/peer_message.h"

namespace anvilloom {

// The answer of an engine to GET /load.
struct polled_load {
  load_report report;
  // Hash64 of the model version; zero if the engine names none.
  std::uint64_t version = 0;
};

// Nothing if the text is not a load report or a value is out of range.
std::optional<polled_load> DecodeLoad(std::string_view text);

// The name under which a summary lists an upstream. Two of the 1,800 engines of
// the target collide with a chance of 4 in 10,000; a summary then feeds one of
// them only.
std::uint32_t ShortUpstreamId(std::uint64_t name_hash);

// About 10 bytes for each engine without its version, 18 with it. The use of
// the KV cache is rounded down to hundredths.
std::string PackLoads(const load_summary& summary);
// Nothing if the bytes are cut short or hold more than a summary.
std::optional<load_summary> UnpackLoads(std::string_view bytes);

}  // namespace anvilloom

#endif  // WIRE_LOAD_CODEC_H_
