// Defines duty_runner, which performs the tasks that exactly one instance does
// for all: reporting the usage of the workspaces and ordering engines.
#ifndef ENTRY_DUTY_RUNNER_H_
#define ENTRY_DUTY_RUNNER_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/log.h"
#include "entry/engine_scaler.h"
#include "entry/gateway_state.h"
#include "entry/lease_runner.h"
#include "entry/usage_reporter.h"
#include "instances/peer_report.h"
#include "wire/object_store.h"
#include "wire/pause.h"

namespace anvilloom {

inline constexpr std::string_view kDutyLease = "duties";

// Not thread-safe; runs on the control thread. All references passed to the
// constructor must outlive it.
template <object_store Store, cloud_duties Cloud>
class duty_runner {
 public:
  duty_runner(gateway_state& state,
              const peer_report_table& peer_reports,
              Store& store,
              Cloud& cloud,
              std::string_view identity)
      : state_(state),
        peer_reports_(peer_reports),
        lease_(store,
               state.clock,
               kDutyLease,
               identity,
               LeaseTimingFor(state),
               &state.era),
        engines_(state, peer_reports, cloud),
        usage_(state, peer_reports, store, cloud),
        no_holder_since_(state.clock.Now()) {}

  // Maintains the lease and orders engines; never returns.
  awaitable<void> Run() {
    for (;;) {
      engines_.Observe();
      co_await MaintainLease();
      // An engine whose entry an older copy of the store lacks is not missing.
      if (fencing() != 0 && !state_.era.IsViewBehind()) {
        co_await engines_.PlaceOrders(fencing());
      }
      co_await Pause(kRoundInterval);
    }
  }

  // Reports usage; never returns. Separate from Run(), since a lost response
  // must not delay the renewal of the lease.
  awaitable<void> RunReports() {
    for (;;) {
      usage_.ObserveEra();
      if (fencing() != 0) {
        co_await usage_.Report([this] { return lease_.Tenure(); });
      }
      co_await Pause(kRoundInterval);
    }
  }

  // Learns the final counts of windows that other instances know, and tells
  // those that this one knows.
  void Take(const peer_report& report) {
    if (report.name == state_.settings.name) {
      return;
    }
    switch (report.content) {
      case report_content::kFinalUsage:
        RememberUsage(report);
        break;
      case report_content::kUsageQuestion:
        AnswerUsage(report);
        break;
      case report_content::kWhole:
        AskForUsage(report);
        break;
      default:
        break;
    }
  }
  // The windows whose final counts this instance knows.
  std::vector<std::uint64_t> FinalWindows() const {
    return usage_.FinalWindows();
  }
  // The final counts of a window; null if this instance does not know them.
  const usage_report* FindFinal(std::uint64_t window) const {
    return usage_.FindFinal(window);
  }

  // The fencing number of the lease if this instance may act under it, else 0.
  std::uint64_t fencing() const { return lease_.Tenure().fencing; }

 private:
  static constexpr duration kRoundInterval = std::chrono::milliseconds(300);
  // Instances try to acquire the lease one after the other, in the order of
  // their ranks, so that a simultaneous start does not cause one call per
  // instance.
  static constexpr duration kRankDelay = std::chrono::milliseconds(300);

  // The lease period is shorter than the one that the platform states, so that
  // a dead holder is replaced soon. The lease is renewed three times per
  // period, and the holder stops acting a fifth of the period before it
  // expires.
  static lease_timing LeaseTimingFor(const gateway_state& state) {
    lease_timing terms;
    terms.period = state.settings.lease * 2 / 3;
    terms.renew_interval = terms.period / 3;
    terms.stop_margin = terms.period / 5;
    terms.return_delay = state.settings.lease;
    return terms;
  }

  void RememberUsage(const peer_report& report) {
    if (report.final_windows.empty()) {
      return;
    }
    usage_report final{report.final_windows.front(), {}};
    for (const usage_count& each : report.begun) {
      final.requests[each.workspace] = each.requests;
    }
    usage_.Remember(final);
  }

  void AnswerUsage(const peer_report& question) {
    for (const std::uint64_t window : question.final_windows) {
      if (const usage_report* known = usage_.FindFinal(window)) {
        state_.usage_sender.answer(question.address, *known);
      }
    }
  }

  // Each report that names a window asks again, so that a lost message delays
  // the counts by one report. Instances too far behind to become the holder are
  // told when another one leaves, and don't ask.
  void AskForUsage(const peer_report& report) {
    const auto windows = usage_.Lacking(report.final_windows);
    if (!windows.empty() &&
        (fencing() != 0 ||
         peer_reports_.Rank(state_.clock.Now()) <= kUsageReplicas)) {
      state_.usage_sender.ask(report.address, windows);
    }
  }

  awaitable<void> MaintainLease() {
    if (state_.draining.load(std::memory_order_relaxed) || !ShouldTryLease()) {
      co_return;
    }
    LogTransition(co_await lease_.Step());
  }

  // Whether to read the lease now. No call is needed while another instance
  // reports that it holds the lease.
  bool ShouldTryLease() {
    const time_point now = state_.clock.Now();
    lease_.NoteFencing(peer_reports_.PeerDutyFencing(now));
    if (lease_.MayAct()) {
      return true;
    }
    if (peer_reports_.PeerDutyFencing(now) != 0) {
      no_holder_since_ = now;
      return false;
    }
    return now - no_holder_since_ >=
           kRankDelay * static_cast<std::int64_t>(peer_reports_.Rank(now));
  }

  void LogTransition(lease_step_result result) {
    if (result == last_result_) {
      return;
    }
    const bool was_held = last_result_ == lease_step_result::kHeld;
    last_result_ = result;
    if (result == lease_step_result::kHeld) {
      Log(log_level::kInfo, log_event::kLeaseTaken,
          {{"lease", std::string(kDutyLease)},
           {"fencing", std::to_string(lease_.fencing())}});
    } else if (was_held) {
      Log(log_level::kWarning, log_event::kLeaseLost,
          {{"lease", std::string(kDutyLease)},
           {"fencing", std::to_string(lease_.fencing())},
           {"finding", std::to_string(static_cast<int>(result))}});
    }
  }

  gateway_state& state_;
  const peer_report_table& peer_reports_;
  lease_runner<Store, steady_source> lease_;
  engine_scaler<Cloud> engines_;
  usage_reporter<Store, Cloud> usage_;
  time_point no_holder_since_;
  lease_step_result last_result_ = lease_step_result::kHeldByOther;
};

}  // namespace anvilloom

#endif  // ENTRY_DUTY_RUNNER_H_
