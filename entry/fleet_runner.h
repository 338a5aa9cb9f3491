// Defines fleet_runner, which competes for the fleet lease and, while it holds
// it, deletes old claims and orders engines to load models.
#ifndef ENTRY_FLEET_RUNNER_H_
#define ENTRY_FLEET_RUNNER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "entry/lease_runner.h"
#include "entry/process_state.h"
#include "instances/fleet_plan.h"
#include "wire/http_client.h"
#include "wire/http_object_store.h"
#include "wire/steady_clock.h"

namespace anvilloom {

// The fleet's status as shown to operators. Counters are monotonic.
struct fleet_status {
  // The lease holder as last read by this instance; empty before the first
  // read.
  std::string holder;
  std::uint64_t fencing = 0;
  // Whether this instance holds the lease and may act.
  bool acts = false;
  std::uint64_t rounds = 0;
  std::uint64_t claims_deleted = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_failed = 0;
  // In the last round: engines that reported, and load orders planned.
  std::uint64_t engines_seen = 0;
  std::uint64_t loads_planned = 0;
  // Time since the last round, in microseconds; zero before the first one.
  duration since_round{0};
};

// Returns lease timing for this period, in the proportions of the default
// timing.
lease_timing ScaleLeaseTiming(duration period);

// Not thread-safe; runs and is read on the control thread.
class fleet_runner {
 public:
  fleet_runner(process_state& process, boost::asio::any_io_executor executor);

  // Starts the tasks, which run until the context stops. Does nothing if the
  // settings disable the fleet.
  void Start();
  fleet_status Status() const;

 private:
  // An engine that may be ordered to load a model.
  struct managed_engine {
    std::string address;
    fleet_engine engine;
  };

  awaitable<void> MaintainLease();
  awaitable<void> RunSweeps();
  awaitable<void> RunRounds();
  void LogChange(lease_step_result result);

  bool MayAct() const;
  // The deadline of a call that may take `timeout`; no later than the end of
  // the time in which the holder may act.
  deadline CallDeadline(duration timeout) const;
  // False if the claims could not be listed, or no configuration is active.
  awaitable<bool> Sweep();
  awaitable<void> RunRound();
  // The engines of the active configuration whose services all use one model.
  std::vector<managed_engine> ManagedEngines() const;
  // Reads the engine's load report. False if it returned no valid one.
  awaitable<bool> ReadReport(managed_engine& managed);
  awaitable<void> SendOrder(load_order order, std::string address);

  process_state& process_;
  boost::asio::any_io_executor executor_;
  lease_timing terms_;
  http_object_store store_;
  http_client engines_;
  lease_runner<http_object_store, steady_source> lease_;
  bool held_ = false;
  lease_step_result last_result_ = lease_step_result::kHeldByOther;
  time_point last_round_;
  fleet_status status_;
};

}  // namespace anvilloom

#endif  // ENTRY_FLEET_RUNNER_H_
