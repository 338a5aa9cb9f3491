// Defines gateway_admin, which serves the readiness, health, metrics and dump
// endpoints of a gateway, and the news of the store to other gateways.
#ifndef ENTRY_GATEWAY_ADMIN_H_
#define ENTRY_GATEWAY_ADMIN_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "entry/gateway_state.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Where other gateways fetch what they lack of the store: the query names what
// they have, "after" the revision up to which they know the upstreams and
// "manifest" the version of their manifest.
inline constexpr std::string_view kNewsPath = "/news";

// Serves /readyz, /healthz, /metrics, /dump and /news. Runs on the control
// thread.
class gateway_admin {
 public:
  explicit gateway_admin(const gateway_state& state) : state_(state) {}

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

  // Whether the load balancer may route calls to this instance.
  bool Ready() const;

 private:
  std::string Metrics() const;
  std::string Dump() const;

  const gateway_state& state_;
};

}  // namespace anvilloom

#endif  // ENTRY_GATEWAY_ADMIN_H_
