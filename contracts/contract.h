// Defines contract, the terms on which a service answers: latency targets,
// deadline, priority, and whether its calls may be repeated.
#ifndef CONTRACTS_CONTRACT_H_
#define CONTRACTS_CONTRACT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

namespace anvilloom {

// Order in which work is shed under overload; a smaller value is kept longer.
enum class priority : std::uint8_t { kInteractive, kNormal, kBatch };

// How an upstream is called.
enum class service_kind : std::uint8_t { kModel, kPlain };

// The terms of one service. Latency fields are settings; a request's deadlines
// are computed from them when it is accepted.
struct contract {
  // Target time to the first token, in microseconds, for 95 in 100 requests.
  duration first_token_target = std::chrono::milliseconds(650);
  // Target time between tokens, in microseconds, for 95 in 100 tokens.
  duration token_interval_target = std::chrono::milliseconds(51);
  // Longest time to the whole answer, in microseconds.
  duration answer_limit = std::chrono::seconds(60);
  priority rank = priority::kNormal;
  // False for deposits and issuances: at most one send per operation.
  bool repeatable = true;
  // Body fields that identify the operation when a call carries no key.
  std::vector<std::string> identity_fields;
};

}  // namespace anvilloom

#endif  // CONTRACTS_CONTRACT_H_
