// Defines the protobuf encoding of instance_report.
#ifndef WIRE_REPORT_CODEC_H_
#define WIRE_REPORT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "instances/instance_report.h"

namespace anvilloom {

std::string EncodeReport(const instance_report& report);
// Nothing if the bytes are no report or name no sender.
std::optional<instance_report> DecodeReport(std::string_view bytes);

}  // namespace anvilloom

#endif  // WIRE_REPORT_CODEC_H_
