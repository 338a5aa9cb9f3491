// Defines Admit, the admission control of requests: it decides by load,
// priority, deadline and the workspace's guaranteed share, before a queue
// builds up.
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

// A request to be admitted, with the latency that routing predicts for it.
struct admission_request {
  priority priority_class = priority::kNormal;
  // Shares are counted in tokens for model services and in calls for plain
  // services.
  service_kind kind = service_kind::kModel;
  deadline answer_by = deadline::Never();
  // Time in microseconds by which the first token is expected to miss its
  // latency target; zero if the target is met.
  duration expected_delay{0};
  // Expected time to the first token, in microseconds.
  duration expected_first_token{0};
  // Used part of the capacity that meets the latency target, in thousandths.
  std::uint32_t load_permille = 0;
  // Random number for the jitter of the retry time, so that callers that are
  // refused together do not retry together.
  std::uint64_t random = 0;
};

// The workspaces and their accounts, in the same order, and the limit on open
// requests of each workspace at this entry instance.
struct admission_state {
  std::span<const workspace> workspaces;
  std::span<const std::shared_ptr<workspace_account>> accounts;
  std::uint32_t open_requests_per_workspace = 0;
};

// Returns no value if the request is admitted. Up to the shed threshold of its
// priority, every request that meets its latency target and its deadline is
// admitted, so that other workspaces can use an unused share. Any other request
// that meets its deadline is admitted only within the guaranteed share of its
// workspace, which is the workspace's weight relative to the weights of all
// active workspaces, and only up to the load at which everything is refused. At
// any load, a workspace that has reached its limit on open requests is refused.
// Thread-safe.
std::optional<refusal> Admit(const admission_state& state,
                             std::size_t workspace_position,
                             const admission_request& request,
                             time_point now);

// Returns the load, in thousandths, above which requests of a priority are shed
// unless they are within the guaranteed share of their workspace.
std::uint32_t ShedThresholdPermille(priority priority_class);

}  // namespace anvilloom

#endif  // CONTRACTS_ADMISSION_H_
