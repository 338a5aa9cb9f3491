// Defines limiter, the request and token limits of one workspace at this entry
// instance. No call to a store and no message is needed for a request.
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

// What a request has taken from the limits: either a refusal, or a reservation
// that must be settled.
struct limit_grant {
  std::optional<refusal> refused;
  reservation tokens;
};

// Thread-safe. Outlives configuration changes.
class limiter {
 public:
  // Takes one request and `tokens` estimated tokens, prompt and answer.
  limit_grant Reserve(const workspace& customer,
                      const limit_share& share,
                      std::uint32_t tokens,
                      time_point now);
  // Corrects the tokens of a grant to those actually used. Where the actual
  // count is not known, the estimate stays charged: don't call it.
  void Settle(const limit_grant& grant, std::uint32_t used_tokens);

 private:
  rate_bucket requests_;
  rate_bucket tokens_;
};

}  // namespace anvilloom

#endif  // CONTRACTS_LIMITER_H_
