#include "contracts/limiter.h"

namespace anvilloom {

namespace {

limit_grant Refused(deadline retry_at) {
  limit_grant grant;
  grant.refused =
      refusal{refusal_code::kWorkspaceLimit, outcome::kNotRun, retry_at};
  return grant;
}

bool IsLimited(const workspace& customer) {
  return customer.requests_per_second > 0 || customer.tokens_per_second > 0;
}

}  // namespace

limit_grant limiter::Reserve(const workspace& customer,
                             const limit_share& share,
                             std::uint32_t tokens,
                             time_point now) {
  if (IsLimited(customer) && !share.hold_down_end().Expired(now)) {
    return Refused(share.hold_down_end());
  }
  const std::uint32_t divisor = share.divisor();
  const reservation request =
      requests_.Reserve(1, {customer.requests_per_second, divisor}, now);
  if (!request.granted) {
    return Refused(request.retry_at);
  }
  limit_grant grant;
  grant.tokens =
      tokens_.Reserve(tokens, {customer.tokens_per_second, divisor}, now);
  if (!grant.tokens.granted) {
    requests_.Settle(request, 0);
    return Refused(grant.tokens.retry_at);
  }
  return grant;
}

void limiter::Settle(const limit_grant& grant, std::uint32_t used_tokens) {
  tokens_.Settle(grant.tokens, used_tokens);
}

}  // namespace anvilloom
