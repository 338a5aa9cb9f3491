// Defines process_limits, the memory and the descriptors of a process, and the
// limits on its clients that follow from them.
#ifndef ENTRY_PROCESS_LIMITS_H_
#define ENTRY_PROCESS_LIMITS_H_

#include <cstddef>

#include "wire/http_server.h"
#include "wire/memory_account.h"

namespace anvilloom {

class settings_reader;

struct process_limits {
  // Maximum number of open file descriptors.
  std::size_t descriptors = 4096;
  // Memory above which the process is killed.
  std::size_t memory_bytes = std::size_t{256} * 1024 * 1024;

  // Number of connections that clients may open.
  std::size_t ClientConnections() const;
  // The largest request body that the memory allows.
  std::size_t MaxBodyBytes() const {
    return memory_bytes / memory_account::kRequestDivisor;
  }
};

// Reads "descriptors" and "memory_mb".
void ReadProcessLimits(settings_reader& reader, process_limits& into);

// Applies the limits to the server that clients connect to. Must be called
// before its pool starts; see http_server for `account`.
void LimitClients(http_server& server,
                  const process_limits& limits,
                  memory_account& account);

// Returns the limits of a server for operators and programs of the platform,
// whose requests have small bodies. Its memory is not accounted for.
http_server_limits AdminLimits(http_server_limits limits);

}  // namespace anvilloom

#endif  // ENTRY_PROCESS_LIMITS_H_
