// Defines the protobuf encoding of peer_report.
#ifndef WIRE_REPORT_CODEC_H_
#define WIRE_REPORT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "instances/peer_report.h"

namespace anvilloom {

std::string EncodePeerReport(const peer_report& report);
// Nothing if the bytes are no report or name no sender.
std::optional<peer_report> DecodePeerReport(std::string_view bytes);

}  // namespace anvilloom

#endif  // WIRE_REPORT_CODEC_H_
