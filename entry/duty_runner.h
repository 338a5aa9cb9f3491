// Defines duty_runner, which does what one instance at a time does for all:
// reports the usage of the workspaces and orders engines.
#ifndef ENTRY_DUTY_RUNNER_H_
#define ENTRY_DUTY_RUNNER_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/log.h"
#include "entry/engine_orderer.h"
#include "entry/gateway_state.h"
#include "entry/lease_runner.h"
#include "entry/usage_reporter.h"
#include "instances/peer_report.h"
#include "wire/object_store.h"
#include "wire/pause.h"

namespace anvilloom {

inline constexpr std::string_view kDutyLease = "duties";

// Runs on the control thread. What it refers to must outlive it.
template <object_store Store, cloud_duties Cloud>
class duty_runner {
 public:
  duty_runner(gateway_state& state,
              const report_board& board,
              Store& store,
              Cloud& cloud,
              std::string_view identity)
      : state_(state),
        board_(board),
        lease_(store, state.clock, kDutyLease, identity, TermsFor(state)),
        engines_(state, board, cloud),
        usage_(state, board, store, cloud),
        unheld_since_(state.clock.Now()) {}

  // Holds the lease and orders engines, for ever.
  awaitable<void> Run() {
    for (;;) {
      engines_.Observe();
      co_await HoldLease();
      if (fencing() != 0) {
        co_await engines_.Order(fencing());
      }
      co_await Pause(kRoundPause);
    }
  }

  // Reports usage, for ever. Apart from Run(), since a lost answer must not
  // delay the renewal of the lease.
  awaitable<void> RunReports() {
    for (;;) {
      if (fencing() != 0) {
        co_await usage_.Report([this] { return fencing(); });
      }
      co_await Pause(kRoundPause);
    }
  }

  // The fencing number under which this instance acts; 0 if it does not.
  std::uint64_t fencing() const {
    return lease_.MayAct() ? lease_.fencing() : 0;
  }

 private:
  static constexpr duration kRoundPause = std::chrono::milliseconds(300);
  // Instances try for the lease one after the other, in the order of their
  // ranks, so that a start does not bring as many calls as instances.
  static constexpr duration kRankPause = std::chrono::milliseconds(300);

  // The period is shorter than the time in which the platform expects no other
  // holder to return, so that a dead holder is replaced soon. Three renewals
  // fit into it, and the holder stops a fifth early.
  static lease_terms TermsFor(const gateway_state& state) {
    lease_terms terms;
    terms.period = state.settings.lease * 2 / 3;
    terms.renew_interval = terms.period / 3;
    terms.stop_margin = terms.period / 5;
    return terms;
  }

  awaitable<void> HoldLease() {
    if (state_.draining.load(std::memory_order_relaxed) || !MayTry()) {
      co_return;
    }
    Note(co_await lease_.Step());
  }

  // Whether to look at the lease now. Others report that they hold it, which
  // costs no call.
  bool MayTry() {
    const time_point now = state_.clock.Now();
    if (lease_.MayAct()) {
      return true;
    }
    if (board_.DutyFencingElsewhere(now) != 0) {
      unheld_since_ = now;
      return false;
    }
    return now - unheld_since_ >=
           kRankPause * static_cast<std::int64_t>(board_.Rank(now));
  }

  void Note(lease_finding found) {
    if (found == last_finding_) {
      return;
    }
    const bool was_held = last_finding_ == lease_finding::kHeld;
    last_finding_ = found;
    if (found == lease_finding::kHeld) {
      Log(log_level::kInfo, log_event::kLeaseTaken,
          {{"lease", std::string(kDutyLease)},
           {"fencing", std::to_string(lease_.fencing())}});
    } else if (was_held) {
      Log(log_level::kWarning, log_event::kLeaseLost,
          {{"lease", std::string(kDutyLease)},
           {"fencing", std::to_string(lease_.fencing())},
           {"finding", std::to_string(static_cast<int>(found))}});
    }
  }

  gateway_state& state_;
  const report_board& board_;
  lease_runner<Store, steady_source> lease_;
  engine_orderer<Cloud> engines_;
  usage_reporter<Store, Cloud> usage_;
  time_point unheld_since_;
  lease_finding last_finding_ = lease_finding::kHeldByOther;
};

}  // namespace anvilloom

#endif  // ENTRY_DUTY_RUNNER_H_
