// Defines instance_report, the part of an instance's state dump that the
// commands show and status print.
#ifndef CTL_INSTANCE_REPORT_H_
#define CTL_INSTANCE_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

struct instance_report {
  std::string name;
  std::string domain;
  bool ready = false;
  bool draining = false;
  std::uint64_t revision = 0;
  std::size_t streams = 0;
  // Number of links per condition, for example "healthy".
  std::map<std::string, std::size_t, std::less<>> links;
};

// Decodes the answer of GET /dump. Returns std::nullopt if it is not JSON or
// has no revision.
std::optional<instance_report> DecodeReport(std::string_view dump);

// Formats the line that `status` prints after the instance's address.
std::string StatusLine(const instance_report& report);

}  // namespace anvilloom

#endif  // CTL_INSTANCE_REPORT_H_
