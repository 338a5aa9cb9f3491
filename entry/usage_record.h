// Defines the JSON encoding of a usage report in the store.
#ifndef ENTRY_USAGE_RECORD_H_
#define ENTRY_USAGE_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "entry/cloud_duties.h"

namespace anvilloom {

std::string EncodeUsage(const usage_report& report);
// Nothing if the text is no usage report.
std::optional<usage_report> DecodeUsage(std::string_view text);

}  // namespace anvilloom

#endif  // ENTRY_USAGE_RECORD_H_
