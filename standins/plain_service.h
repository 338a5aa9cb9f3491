// Defines plain_service, a stand-in for a plain upstream service. It counts the
// executions of each operation, so that tests can detect repeated execution.
#ifndef STANDINS_PLAIN_SERVICE_H_
#define STANDINS_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standins/fault_injector.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server. Thread-safe. GET /runs returns the number of
// executions for each value of the Idempotency-Key header. Supports the faults
// refuse, delay, hang, drop_before and drop_after, and the faults truncate,
// cut_header, wrong_length and no_length, which alter the response after the
// execution.
class plain_service {
 public:
  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  fault_injector faults_;
  std::mutex mutex_;
  // Number of executions, keyed by idempotency key.
  std::map<std::string, std::uint32_t> runs_;
};

}  // namespace anvilloom

#endif  // STANDINS_PLAIN_SERVICE_H_
