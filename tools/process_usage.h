// Defines process_usage, the processor time and memory of another process on
// this machine.
#ifndef TOOLS_PROCESS_USAGE_H_
#define TOOLS_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>

namespace anvilloom {

// A sample at one point in time.
struct process_usage {
  // Processor time since the start of the process, in seconds.
  double cpu_seconds = 0;
  // Resident memory in bytes.
  std::uint64_t resident_bytes = 0;
};

// Reads the kernel's counters; std::nullopt if there is no such process.
std::optional<process_usage> ReadProcessUsage(pid_t pid);

}  // namespace anvilloom

#endif  // TOOLS_PROCESS_USAGE_H_
