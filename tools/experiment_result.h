// Defines experiment_result, the measurements of one run in virtual time.
#ifndef TOOLS_EXPERIMENT_RESULT_H_
#define TOOLS_EXPERIMENT_RESULT_H_

#include <array>
#include <cstdint>
#include <vector>

namespace anvilloom {

// Counts of one workspace.
struct workspace_result {
  std::uint64_t requested = 0;
  std::uint64_t refused = 0;
  std::uint64_t tokens_requested = 0;
  std::uint64_t tokens_served = 0;
};

struct experiment_result {
  // Price of the time in which engines ran at least one request, in millionths
  // of a currency unit.
  double busy_cost = 0;
  // The same for all the time in which the engines existed.
  double paid_cost = 0;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t requests_in_target = 0;
  std::uint64_t tokens = 0;
  // Answer tokens of requests that met the first-token target, and whose token
  // intervals met theirs in at least 95% of cases.
  std::uint64_t tokens_in_target = 0;
  // Prompt and answer tokens computed again after their request was moved.
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t prefilled_tokens = 0;
  std::uint64_t prompt_tokens = 0;
  // Latencies of chat requests, in milliseconds.
  std::vector<float> first_token_ms;
  std::vector<float> interval_ms;
  std::vector<workspace_result> workspaces;
};

}  // namespace anvilloom

#endif  // TOOLS_EXPERIMENT_RESULT_H_
