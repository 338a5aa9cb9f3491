// Defines pace_log, which logs the upstreams that begin or cease to get less
// than their usual share of the calls, and those that state a slow-down.
#ifndef ENTRY_PACE_LOG_H_
#define ENTRY_PACE_LOG_H_

#include "entry/gateway_state.h"
#include "links/pace_watch.h"

namespace anvilloom {

// Used on the control thread.
class pace_log {
 public:
  explicit pace_log(const gateway_state& state) : state_(state) {}

  // Looks at the upstreams at intervals; never returns.
  awaitable<void> Run();

 private:
  void Review();

  const gateway_state& state_;
  pace_watch watch_;
};

}  // namespace anvilloom

#endif  // ENTRY_PACE_LOG_H_
