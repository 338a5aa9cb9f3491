#include "entry/readiness.h"

namespace anvilloom {

awaitable<void> RespondReadiness(http_exchange& exchange,
                                 const process_state& process) {
  const bool ready = process.ready();
  co_await exchange.Respond(
      ready ? http_status::ok : http_status::service_unavailable, "text/plain",
      ready ? "ready\n" : "not ready\n");
}

}  // namespace anvilloom
