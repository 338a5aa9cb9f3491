// Defines process_state, what all threads of an entry instance share.
#ifndef ENTRY_PROCESS_STATE_H_
#define ENTRY_PROCESS_STATE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/rcu.h"
#include "contracts/limit_share.h"
#include "entry/drain_gate.h"
#include "entry/settings.h"
#include "instances/membership.h"
#include "links/least_cost.h"
#include "links/retry_budget.h"
#include "links/topology.h"
#include "wire/steady_clock.h"

namespace anvilloom {

class peer_service;

// The routing policy of the entry instance.
using entry_policy = least_cost;

// Refusals since the last log line about them.
struct refusal_log {
  std::atomic<std::uint64_t> refused{0};
  // Earliest time of the next line.
  std::atomic<monotonic::rep> next_at{0};
};

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
  // Of all layers: whoever accepted a request asks here before repeating it.
  retry_budget retries;
  limit_share share;
  refusal_log refusals;
  std::atomic<std::uint64_t> revision_in_force{0};
  std::atomic<bool> draining{false};
  // Who is alive, as this instance sees it. Written by the peer thread.
  rcu_cell<membership_snapshot> members;
  // Null if this instance works alone.
  peer_service* peers = nullptr;
  drain_gate drain;
  // Requests that have not been answered to the end, and claims whose result is
  // still being stored. A planned stop waits for them.
  std::atomic<std::uint32_t> unfinished{0};

  // Between name and epoch in RunName(). A name may contain it, an epoch does
  // not.
  static constexpr char kRunMark = '.';
  // Names this run of the process among all of the fleet.
  std::string RunName() const;

  // Whether the balancer may send new requests here. Not before the hold-down
  // of the limits ends: callers of limited workspaces would be refused.
  bool ready() const;

  // Asks for a planned stop within the limit of the settings.
  void RequestDrain();

  // A copy of the service in force under this name, which stays valid when the
  // topology changes.
  std::optional<service> FindService(std::string_view name) const;

  // Takes over the number of live entry instances, this one included. Called by
  // one control thread at least once a second.
  void ObserveMembers(std::uint32_t live_members);
};

}  // namespace anvilloom

#endif  // ENTRY_PROCESS_STATE_H_
