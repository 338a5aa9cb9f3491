// Defines the decoding of an engine's load report, the JSON of GET /load, and
// what summaries of such reports between entry instances share with it.
#ifndef WIRE_LOAD_CODEC_H_
#define WIRE_LOAD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "links/link.h"
#include "wire/peer_message.h"

namespace anvilloom {

// Nothing if a value is beyond what an engine can report.
std::optional<load_report> MakeLoadReport(std::uint64_t running,
                                          std::uint64_t waiting,
                                          std::uint64_t cache_permille);

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

}  // namespace anvilloom

#endif  // WIRE_LOAD_CODEC_H_
