// Defines the JSON text in which prompt parts that crash upstreams are stored.
#ifndef ENTRY_SUSPECT_RECORD_H_
#define ENTRY_SUSPECT_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "instances/suspect_report.h"

namespace anvilloom {

// `wall_us` is the wall clock time in microseconds since 1970 at which the ages
// in the evidence hold.
std::string EncodeEvidence(const suspect_evidence& evidence,
                           std::int64_t wall_us);
// Returns the evidence with its ages at `wall_us`, or nothing if the text is
// not a record. Malformed suspects and ends are left out.
std::optional<suspect_evidence> DecodeEvidence(std::string_view text,
                                               std::int64_t wall_us);

}  // namespace anvilloom

#endif  // ENTRY_SUSPECT_RECORD_H_
