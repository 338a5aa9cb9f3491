// Defines fleet_runner, which tries for the fleet lease and, while it holds it,
// deletes old claims and tells engines which model to load.
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

// What operators are shown of the fleet. Counters only grow.
struct fleet_status {
  // As this instance read the lease last; empty before.
  std::string holder;
  std::uint64_t fencing = 0;
  // Whether this instance holds the lease and may act.
  bool acts = false;
  std::uint64_t rounds = 0;
  std::uint64_t claims_deleted = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_failed = 0;
  // Of the last round: engines that reported, and orders that it gave.
  std::uint64_t engines_seen = 0;
  std::uint64_t orders_given = 0;
  // Time since the last round, in microseconds; zero before the first one.
  duration since_round{0};
};

// The times of a lease of this period, with the ratios of the default terms.
lease_terms TermsFor(duration period);

// Runs on the control thread, and is read there.
class fleet_runner {
 public:
  fleet_runner(process_state& process, boost::asio::any_io_executor executor);

  // Works until the context stops. Does nothing if the settings turn it off.
  void Start();
  fleet_status Status() const;

 private:
  // An engine that may be told to load a model.
  struct managed_engine {
    std::string address;
    fleet_engine engine;
  };

  awaitable<void> KeepLease();
  awaitable<void> SweepAtIntervals();
  awaitable<void> RunRounds();
  void LogChange(lease_finding found);

  bool MayAct() const;
  // When a call of the holder must have ended at the latest.
  deadline CallLimit(duration limit) const;
  // False if the claims could not be listed, or no configuration is in force.
  awaitable<bool> Sweep();
  awaitable<void> RunRound();
  // The engines of the configuration in force whose services all use one model.
  std::vector<managed_engine> ManagedEngines() const;
  // Takes the engine's report. False if it gave none.
  awaitable<bool> ReadReport(managed_engine& managed);
  awaitable<void> Send(load_order order, std::string address);

  process_state& process_;
  boost::asio::any_io_executor executor_;
  lease_terms terms_;
  http_object_store store_;
  http_client engines_;
  lease_runner<http_object_store, steady_source> lease_;
  bool held_ = false;
  lease_finding last_found_ = lease_finding::kHeldByOther;
  time_point last_round_;
  fleet_status status_;
};

}  // namespace anvilloom

#endif  // ENTRY_FLEET_RUNNER_H_
