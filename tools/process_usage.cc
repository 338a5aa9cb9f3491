#include "tools/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace anvilloom {

std::optional<process_usage> ReadProcessUsage(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (!std::getline(file, line)) {
    return std::nullopt;
  }
  // The command name may contain spaces, so fields are counted after its
  // closing parenthesis.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  constexpr int kFieldsBeforeResident = 8;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  std::uint64_t user_ticks = 0;
  std::uint64_t system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  for (int i = 0; i < kFieldsBeforeResident; ++i) {
    fields >> skipped;
  }
  std::uint64_t resident_pages = 0;
  fields >> resident_pages;
  process_usage usage;
  usage.cpu_seconds = static_cast<double>(user_ticks + system_ticks) /
                      static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_bytes =
      resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

}  // namespace anvilloom
