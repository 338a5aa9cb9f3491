// Defines Admit, which decides whether a request is taken before a queue builds
// up: by load, priority, deadline and the workspace's guaranteed share.
#ifndef CONTRACTS_ADMISSION_H_
#define CONTRACTS_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>

#include "common/time.h"
#include "contracts/contract.h"
#include "contracts/outcome.h"
#include "contracts/workspace.h"
#include "contracts/workspace_account.h"

namespace anvilloom {

// A request that waits for admission, with what routing expects of it.
struct admission_request {
  priority rank = priority::kNormal;
  deadline answer_by = deadline::Never();
  // How far the first token is expected to miss the target; zero if it is met.
  duration expected_delay{0};
  duration expected_first_token{0};
  // Use of the capacity within the latency target, in thousandths.
  std::uint32_t load_permille = 0;
  // Spreads the retry times of callers that are refused together.
  std::uint64_t random = 0;
};

// The workspaces and their accounts, in the same order.
struct admission_book {
  std::span<const workspace> workspaces;
  std::span<const std::shared_ptr<workspace_account>> accounts;
  std::uint32_t open_requests_per_workspace = 0;
};

// Nothing if the request is admitted. Below the load at which its priority is
// shed every request is, so that unused shares are lent out. Above, a workspace
// gets in only with its guaranteed share, by weight among the active ones.
std::optional<refusal> Admit(const admission_book& book,
                             std::size_t workspace_position,
                             const admission_request& request,
                             time_point now);

// Load in thousandths above which requests of a priority are shed, unless they
// are within the guaranteed share of their workspace.
std::uint32_t ShedAbove(priority rank);

}  // namespace anvilloom

#endif  // CONTRACTS_ADMISSION_H_
