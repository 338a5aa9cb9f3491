// Defines gateway_admin, which serves the readiness, health, metrics and dump
// endpoints of a gateway.
#ifndef ENTRY_GATEWAY_ADMIN_H_
#define ENTRY_GATEWAY_ADMIN_H_

#include <cstddef>
#include <string>

#include "entry/gateway_state.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Serves /readyz, /healthz, /metrics and /dump. Runs on the control thread.
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
