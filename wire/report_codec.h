// Defines the protobuf codec for peer_report.
#ifndef WIRE_REPORT_CODEC_H_
#define WIRE_REPORT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "instances/peer_report.h"

namespace anvilloom {

std::string EncodePeerReport(const peer_report& report);
// Returns nullopt if the bytes are not a report or do not name the sender.
std::optional<peer_report> DecodePeerReport(std::string_view bytes);

}  // namespace anvilloom

#endif  // WIRE_REPORT_CODEC_H_
