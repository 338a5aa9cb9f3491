// Defines the JSON encodings of usage in the store: of a report, and of counts
// that are not yet reported.
#ifndef ENTRY_USAGE_RECORD_H_
#define ENTRY_USAGE_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "contracts/usage_counts.h"
#include "entry/cloud_duties.h"

namespace anvilloom {

std::string EncodeUsage(const usage_report& report);
// Returns nothing if the text is not a usage report.
std::optional<usage_report> DecodeUsage(std::string_view text);

std::string EncodeUsageCounts(const usage_counts& counts);
// Returns nothing if the text does not hold usage counts.
std::optional<usage_counts> DecodeUsageCounts(std::string_view text);

}  // namespace anvilloom

#endif  // ENTRY_USAGE_RECORD_H_
