// Defines AdmitRequest, which applies admission control and workspace limits to
// one request, and admission_ticket, which an admitted request holds until it
// has ended.
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

// The load that one request adds to its workspace's account.
struct admission_units {
  service_kind kind = service_kind::kModel;
  // Estimated prompt and answer tokens; 0 for a call to a plain service.
  std::uint32_t tokens = 0;
};

// Releases the request's share of its workspace's account on destruction.
// Unless Settle() was called, the estimate stays charged to the token limit.
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

  // Replaces the estimate in the token limit with the tokens that were used.
  void Settle(std::uint32_t used_tokens);

 private:
  // Null in a default-constructed or moved-from ticket.
  std::shared_ptr<workspace_account> account_;
  limit_grant grant_;
};

// Holds a refusal, or the ticket of an admitted request.
struct admission_result {
  std::optional<refusal> refused;
  admission_ticket ticket;
};

// Admits or refuses a request to `target`. Requests to plain services are shed
// by load only if every upstream of the service declares its slots. The fields
// `wanted` and `priority_class` of `routing` are filled in here. A workspace or
// service that is not in the topology is refused by routing, not here.
admission_result AdmitRequest(process_state& process,
                              std::string_view workspace_name,
                              const service& target,
                              route_request routing,
                              time_point now);

}  // namespace anvilloom

#endif  // ENTRY_ADMISSION_GATE_H_
