// Defines limiter, which enforces the request and token limits of one workspace
// at this entry instance. It is purely local: no request needs a store call or
// a message to another instance.
#ifndef CONTRACTS_LIMITER_H_
#define CONTRACTS_LIMITER_H_

#include <cstdint>
#include <optional>

#include "common/time.h"
#include "contracts/limit_share.h"
#include "contracts/outcome.h"
#include "contracts/rate_bucket.h"
#include "contracts/workspace.h"

namespace anvilloom {

// The result of a reservation: either a refusal, or reserved tokens that must
// be settled.
struct limit_grant {
  std::optional<refusal> refused;
  reservation tokens;
};

// Thread-safe. Kept across configuration changes.
class limiter {
 public:
  // Reserves one request and `tokens`, the estimated tokens of its prompt and
  // answer. Refuses with kWorkspaceLimit if either limit is exhausted.
  limit_grant Reserve(const workspace& customer,
                      const limit_share& share,
                      std::uint32_t tokens,
                      time_point now);
  // Corrects the tokens of a grant to the number used. Must not be called if
  // that number is unknown; the estimate then stays charged.
  void Settle(const limit_grant& grant, std::uint32_t used_tokens);

 private:
  rate_bucket requests_;
  rate_bucket tokens_;
};

}  // namespace anvilloom

#endif  // CONTRACTS_LIMITER_H_
