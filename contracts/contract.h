// Defines contract, the service-level terms of a service: latency targets,
// answer limit, priority, and whether its calls may be repeated.
#ifndef CONTRACTS_CONTRACT_H_
#define CONTRACTS_CONTRACT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

namespace anvilloom {

// Priority of work under overload. Smaller values are shed later.
enum class priority : std::uint8_t { kInteractive, kNormal, kBatch };

// Whether a service is answered by model engines, which stream tokens, or by
// plain HTTP services.
enum class service_kind : std::uint8_t { kModel, kPlain };

// The terms of one service. Its durations are settings; the deadlines of a
// request are computed from them when the request is accepted.
struct contract {
  // Target of the 95th percentile of the time to first token, in microseconds.
  duration first_token_target = std::chrono::milliseconds(650);
  // Target of the 95th percentile of the time between tokens, in microseconds.
  duration token_interval_target = std::chrono::milliseconds(51);
  // Maximum time to the complete answer, in microseconds.
  duration answer_limit = std::chrono::seconds(60);
  priority priority_class = priority::kNormal;
  // Whether a call may be sent again. False for deposits and issuances, which
  // are sent at most once per operation.
  bool repeatable = true;
  // Body fields that identify the operation of a call without an idempotency
  // key.
  std::vector<std::string> identity_fields;
};

}  // namespace anvilloom

#endif  // CONTRACTS_CONTRACT_H_
