// Defines AdmitRequest, which applies admission and limits to one request, and
// admission_ticket, what an admitted request holds until it has ended.
#ifndef ENTRY_ADMISSION_GATE_H_
#define ENTRY_ADMISSION_GATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "contracts/limiter.h"
#include "contracts/outcome.h"
#include "contracts/service.h"
#include "contracts/workspace_account.h"
#include "entry/process_state.h"
#include "links/router.h"

namespace anvilloom {

// What a request counts for in its workspace's account.
struct admission_units {
  service_kind kind = service_kind::kModel;
  // Estimate, prompt and answer; 0 for a call to a plain service.
  std::uint32_t tokens = 0;
};

// Ends the request's use of its workspace's account when destroyed. Unless
// Settle() was called, the estimate stays charged to the token limit.
class admission_ticket {
 public:
  admission_ticket() = default;
  admission_ticket(std::shared_ptr<workspace_account> account,
                   const limit_grant& grant,
                   const admission_units& used,
                   time_point now);
  ~admission_ticket();
  admission_ticket(admission_ticket&& from) noexcept = default;
  admission_ticket& operator=(admission_ticket&& from) noexcept;

  // Charges the tokens that were used instead of the estimate.
  void Settle(std::uint32_t used_tokens);

 private:
  // Null once moved from.
  std::shared_ptr<workspace_account> account_;
  limit_grant grant_;
};

// Either a refusal or a ticket.
struct admission_result {
  std::optional<refusal> refused;
  admission_ticket ticket;
};

// Decides on a request to `target`. Requests to plain services are shed by load
// only if every upstream of the service states its slots. The fields `wanted`
// and `rank` of `wish` are filled in here; an upstream that the topology does
// not have is not refused here but by routing.
admission_result AdmitRequest(process_state& process,
                              std::string_view workspace_name,
                              const service& target,
                              route_request wish,
                              time_point now);

}  // namespace anvilloom

#endif  // ENTRY_ADMISSION_GATE_H_
