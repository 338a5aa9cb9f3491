// Defines instance_report, the part of an instance's state dump that operators
// compare between instances.
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
  // Number of links by their condition, for example "healthy".
  std::map<std::string, std::size_t, std::less<>> links;
};

// Reads the answer of GET /dump; nothing if it has another form.
std::optional<instance_report> DecodeReport(std::string_view dump);

// One line for `status`, without the address.
std::string StatusLine(const instance_report& report);

}  // namespace anvilloom

#endif  // CTL_INSTANCE_REPORT_H_
