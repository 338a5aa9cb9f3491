// Defines plain_service, a stand-in for a plain upstream service. It counts
// how often each operation ran, so that a test can find a second run.
#ifndef STANDINS_PLAIN_SERVICE_H_
#define STANDINS_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server. Thread-safe.
class plain_service {
 public:
  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  std::mutex mutex_;
  // Runs by idempotency key.
  std::map<std::string, std::uint32_t> runs_;
};

}  // namespace anvilloom

#endif  // STANDINS_PLAIN_SERVICE_H_
