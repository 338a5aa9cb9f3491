// Defines process_state, the state shared by all threads of an entry instance.
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
#include "wire/memory_account.h"
#include "wire/steady_clock.h"

namespace anvilloom {

class peer_service;

// The routing policy of the entry instance.
using entry_policy = least_cost;

// Number of refusals since the last log line that reported it.
struct refusal_log {
  std::atomic<std::uint64_t> refused{0};
  // Earliest time of the next log line.
  std::atomic<monotonic::rep> next_at{0};
};

// Members are set before the threads start, are atomics, or are read through
// read-copy-update.
struct process_state {
  explicit process_state(entry_settings from);

  entry_settings settings;
  // What clients and upstreams have sent and what has not been passed on.
  memory_account memory;
  // Distinguishes this run of the process from earlier ones of the same name.
  std::string epoch;
  steady_source clock;
  rcu_cell<topology> world;
  entry_policy policy;
  // Shared by all request handlers: the handler of a request takes from it
  // before each retry.
  retry_budget retries;
  limit_share share;
  refusal_log refusals;
  std::atomic<std::uint64_t> revision_in_force{0};
  std::atomic<bool> draining{false};
  // The members of the fleet as this instance sees them. Written by the peer
  // thread.
  rcu_cell<membership_snapshot> members;
  // Null if this instance has no peers.
  peer_service* peers = nullptr;
  drain_gate drain;
  // Requests that are not completely answered, and claims whose result is still
  // being stored. A planned stop waits for them.
  std::atomic<std::uint32_t> unfinished{0};

  // Separates name and epoch in RunName(). A name may contain it, an epoch does
  // not.
  static constexpr char kEpochSeparator = '.';
  // Identifies this run of the process within the whole fleet.
  std::string RunName() const;

  // Whether the load balancer may send new requests here. False until the
  // hold-down of the limits ends, because callers of limited workspaces would
  // be refused.
  bool ready() const;

  // Requests a planned stop within the limit of the settings.
  void RequestDrain();

  // Returns a copy of the service with this name, which stays valid when the
  // topology changes.
  std::optional<service> FindService(std::string_view name) const;

  // Updates the number of live entry instances, this one included. One control
  // thread must call it at least once a second.
  void ObserveMembers(std::uint32_t live_members);
};

}  // namespace anvilloom

#endif  // ENTRY_PROCESS_STATE_H_
