// Defines process_state, what all threads of an entry instance share.
#ifndef ENTRY_PROCESS_STATE_H_
#define ENTRY_PROCESS_STATE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "common/rcu.h"
#include "entry/settings.h"
#include "links/router.h"
#include "links/topology.h"
#include "wire/steady_clock.h"

namespace anvilloom {

// The routing policy of the entry instance.
using entry_policy = least_outstanding;

// Members are set before the threads start, or are atomics, or are read
// through read-copy-update.
struct process_state {
  explicit process_state(entry_settings from);

  entry_settings settings;
  // Distinguishes this run of the process from earlier ones of the same name.
  std::string epoch;
  steady_source clock;
  rcu_cell<topology> world;
  entry_policy policy;
  std::atomic<std::uint64_t> revision_in_force{0};
  std::atomic<bool> draining{false};

  // Whether the balancer may send new requests here.
  bool ready() const;
};

}  // namespace anvilloom

#endif  // ENTRY_PROCESS_STATE_H_
