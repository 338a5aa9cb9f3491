// Defines plain_service, a stand-in for a plain upstream service. It counts
// how often each operation ran, so that a test can find a second run.
#ifndef STANDINS_PLAIN_SERVICE_H_
#define STANDINS_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standins/fault_switch.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server. Thread-safe. Runs are counted by the
// Idempotency-Key header and listed at /runs. Takes the faults refuse, delay,
// hang, drop_before and drop_after, and after the run truncate, cut_header,
// wrong_length and no_length.
class plain_service {
 public:
  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  fault_switch faults_;
  std::mutex mutex_;
  // Runs by idempotency key.
  std::map<std::string, std::uint32_t> runs_;
};

}  // namespace anvilloom

#endif  // STANDINS_PLAIN_SERVICE_H_
