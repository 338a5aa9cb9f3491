// Defines the JSON encodings of usage in the store: of a report, and of counts
// that are not yet reported.
#ifndef ENTRY_USAGE_RECORD_H_
#define ENTRY_USAGE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "contracts/usage_counts.h"
#include "entry/cloud_duties.h"

namespace anvilloom {

std::string EncodeUsage(const usage_report& report);
// Returns nothing if the text is not a usage report.
std::optional<usage_report> DecodeUsage(std::string_view text);

// Where the present era of the store begins in the usage.
struct era_start {
  // 0 in a store that tells none.
  std::uint64_t era = 0;
  // The first window whose final counts can't have been sent in an earlier era.
  std::uint64_t first_window = 0;

  friend bool operator==(const era_start&, const era_start&) = default;
};

// `start` is that of the era in which the counts are stored. The version of an
// object doesn't tell that era, since a copy of the store keeps objects.
std::string EncodeUsageCounts(const usage_counts& counts,
                              const era_start& start = {});
// Returns nothing if the text does not hold usage counts.
std::optional<usage_counts> DecodeUsageCounts(std::string_view text);
// Returns the start that is stored with usage counts; that of era 0 if the text
// holds none.
era_start DecodeEraStart(std::string_view text);

}  // namespace anvilloom

#endif  // ENTRY_USAGE_RECORD_H_
