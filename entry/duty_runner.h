// Defines duty_runner, which does what one instance at a time does for all:
// reports the usage of the workspaces and orders engines.
#ifndef ENTRY_DUTY_RUNNER_H_
#define ENTRY_DUTY_RUNNER_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/log.h"
#include "entry/cloud_duties.h"
#include "entry/gateway_state.h"
#include "entry/lease_runner.h"
#include "entry/usage_record.h"
#include "instances/demand_estimate.h"
#include "instances/engine_plan.h"
#include "instances/peer_report.h"
#include "wire/object_store.h"
#include "wire/pause.h"
#include "wire/wall_clock.h"

namespace anvilloom {

// Kind of the usage reports that were decided on. The name is the window.
inline constexpr std::string_view kUsageKind = "usage-reports";
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
        store_(store),
        cloud_(cloud),
        lease_(store, state.clock, kDutyLease, identity, TermsFor(state)),
        started_(state.clock.Now()) {}

  awaitable<void> Run() {
    for (;;) {
      co_await Round();
      co_await Pause(kRoundPause);
    }
  }

  // The fencing number under which this instance acts; 0 if it does not.
  std::uint64_t fencing() const {
    return lease_.MayAct() ? lease_.fencing() : 0;
  }

 private:
  static constexpr duration kRoundPause = std::chrono::milliseconds(500);
  // Instances try for the lease one after the other, in the order of their
  // ranks, so that a start does not bring as many calls as instances.
  static constexpr duration kRankPause = std::chrono::milliseconds(300);
  static constexpr duration kCallLimit = std::chrono::milliseconds(1500);
  // After the end of a window its last counts have arrived from all instances.
  static constexpr duration kCountsSettle = std::chrono::milliseconds(1200);
  // Windows before the last ended one that a new holder still reports.
  static constexpr std::uint64_t kOlderWindows = 2;
  // An order that brought nothing is repeated after the boot time and this.
  static constexpr duration kOrderSlack = std::chrono::seconds(3);
  // Engines announce themselves within a second or two of a start.
  static constexpr duration kSettleTime = std::chrono::milliseconds(1500);
  // Longer than kUnavailablePause, so that refusals in a row count as one.
  static constexpr duration kRefusedMemory = std::chrono::milliseconds(3500);
  // Between two tries for engines that were not to be had.
  static constexpr duration kUnavailablePause = std::chrono::seconds(2);

  static lease_terms TermsFor(const gateway_state& state) {
    // Three renewals fit into a period; the holder stops a fifth early.
    lease_terms terms;
    terms.period = state.settings.lease;
    terms.renew_interval = state.settings.lease / 3;
    terms.stop_margin = state.settings.lease / 5;
    return terms;
  }

  time_point Now() const { return state_.clock.Now(); }
  deadline CallLimit() const { return deadline::After(Now(), kCallLimit); }

  awaitable<void> Round() {
    if (state_.draining.load(std::memory_order_relaxed) || !MayTry()) {
      co_return;
    }
    const lease_finding found = co_await lease_.Step();
    Note(found);
    if (found != lease_finding::kHeld || !lease_.MayAct()) {
      co_return;
    }
    co_await ReportWindows();
    if (lease_.MayAct()) {
      co_await OrderEngines();
    }
  }

  // Whether to look at the lease now. Others report that they hold it, which
  // costs no call.
  bool MayTry() {
    const time_point now = Now();
    if (lease_.MayAct()) {
      return true;
    }
    if (board_.DutyFencingElsewhere(now) != 0) {
      unheld_since_ = now;
      return false;
    }
    const duration turn =
        kRankPause * static_cast<std::int64_t>(board_.Rank(now));
    return now - std::max(unheld_since_, started_) >= turn;
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

  // Reports each window that has ended and whose counts have settled.
  awaitable<void> ReportWindows() {
    const auto window_us = state_.settings.usage_window.count();
    const auto ended = static_cast<std::uint64_t>(
        (WallClockMicros() - kCountsSettle.count()) / window_us);
    if (ended < kOlderWindows + 1) {
      co_return;
    }
    for (std::uint64_t window = ended - 1 - kOlderWindows; window < ended;
         ++window) {
      if (!reported_.contains(window) && lease_.MayAct()) {
        co_await ReportWindow(window);
      }
    }
    while (reported_.size() > 2 * (kOlderWindows + 1)) {
      reported_.erase(reported_.begin());
    }
  }

  usage_report CountWindow(std::uint64_t window) const {
    usage_report report;
    report.window = window;
    for (const usage_count& count : state_.usage.Counts()) {
      if (count.window == window) {
        report.requests[count.workspace] += count.requests;
      }
    }
    for (const auto& [key, requests] : board_.BegunElsewhere()) {
      if (key.first == window) {
        report.requests[key.second] += requests;
      }
    }
    return report;
  }

  // The counts are stored before they are sent: whoever reports the window
  // later sends the same ones.
  awaitable<void> ReportWindow(std::uint64_t window) {
    const std::string name = std::to_string(window);
    usage_report report = CountWindow(window);
    const auto created = co_await store_.Create(
        kUsageKind, name, EncodeUsage(report), CallLimit());
    if (!created) {
      const auto stored = co_await store_.Get(kUsageKind, name, CallLimit());
      const auto decided = stored ? DecodeUsage(stored->value) : std::nullopt;
      if (!decided) {
        co_return;  // Not decided yet; the next round tries again.
      }
      report = *decided;
    }
    if (!lease_.MayAct()) {
      co_return;
    }
    const duty_result result =
        co_await cloud_.ReportUsage(report, lease_.fencing(), CallLimit());
    if (result == duty_result::kDone || result == duty_result::kFenced) {
      reported_.insert(window);
    }
    std::uint64_t total = 0;
    for (const auto& [workspace, requests] : report.requests) {
      total += requests;
    }
    Log(result == duty_result::kDone ? log_level::kInfo : log_level::kWarning,
        log_event::kUsageReported,
        {{"window", name},
         {"requests", std::to_string(total)},
         {"fencing", std::to_string(lease_.fencing())},
         {"result", std::to_string(static_cast<int>(result))}});
  }

  awaitable<void> OrderEngines() {
    const auto view = state_.View();
    if (!view->manifest) {
      co_return;
    }
    for (const manifest_service& service : view->manifest->source().services) {
      if (service.scaling && service.model) {
        co_await OrderEnginesOf(*view, service);
      }
    }
  }

  awaitable<void> OrderEnginesOf(const serving_view& view,
                                 const manifest_service& service) {
    const upstream_pool* pool = view.FindPool(service.name);
    const auto serving = Count(*pool);
    std::uint32_t engines = 0;
    std::uint32_t reclaimable = 0;
    for (const auto& [domain, counted] : serving) {
      engines += counted.on_demand + counted.reclaimable;
      reclaimable += counted.reclaimable;
    }
    const std::uint64_t read =
        pool->meter->read_tokens.load() + board_.ReadElsewhere(service.name);
    if (!Settled(service.name, engines)) {
      co_return;
    }
    demand_estimate& demand = demand_[service.name];
    demand.Take(read, engines, state_.costs.read_us_per_token, Now());
    engine_need need;
    need.busy_engines = demand.busy_engines();
    if (!refused_[service.name].until.Expired(Now())) {
      need.reclaimable_obtainable = reclaimable;
    }
    const auto wanted =
        PlanEngines(*service.scaling, need, engine_plan_terms{});
    std::uint32_t wanted_reclaimable = 0;
    for (const wanted_engines& each : wanted) {
      wanted_reclaimable += each.reclaimable;
    }
    for (const wanted_engines& each : wanted) {
      const auto found = serving.find(each.domain);
      const domain_engines now =
          found == serving.end() ? domain_engines{} : found->second;
      // Named, because GCC 12 destroys a braced temporary in the operand of
      // co_await twice.
      const engine_order cheap{service.name, each.domain, true,
                               each.reclaimable};
      co_await Order(service, cheap, now.reclaimable);
      // Engines on demand are given back once the reclaimable ones serve.
      const bool replaced = need.reclaimable_obtainable == reclaimable ||
                            reclaimable >= wanted_reclaimable;
      if (each.on_demand >= now.on_demand || replaced) {
        const engine_order lasting{service.name, each.domain, false,
                                   each.on_demand};
        co_await Order(service, lasting, now.on_demand);
      }
    }
  }

  // Whether the engines that were present at the start have announced
  // themselves: the first plan would see too few of them otherwise.
  bool Settled(const std::string& service, std::uint32_t engines) {
    settling_state& state = settling_[service];
    if (state.settled) {
      return true;
    }
    if (engines != state.engines || engines == 0) {
      state.engines = engines;
      state.settled_at = deadline::After(Now(), kSettleTime);
      return false;
    }
    state.settled = state.settled_at.Expired(Now());
    return state.settled;
  }

  static std::map<std::string, domain_engines, std::less<>> Count(
      const upstream_pool& pool) {
    std::map<std::string, domain_engines, std::less<>> counts;
    for (const auto& each : pool.members) {
      if (each->leaving()) {
        continue;
      }
      domain_engines& domain = counts[each->announced().domain];
      ++(each->announced().reclaimable ? domain.reclaimable : domain.on_demand);
    }
    return counts;
  }

  struct settling_state {
    bool settled = false;
    std::uint32_t engines = 0;
    deadline settled_at = deadline::Never();
  };

  // Until when the cloud is taken to have no reclaimable engines.
  struct refusal_memory {
    deadline until = deadline(time_point::min());
  };

  struct order_state {
    std::uint32_t count = 0;
    bool given = false;
    deadline repeat_at = deadline::Never();
  };

  awaitable<void> Order(const manifest_service& service,
                        const engine_order& order,
                        std::uint32_t serving) {
    if (!lease_.MayAct()) {
      co_return;
    }
    order_state& last =
        orders_[order.service + '/' + order.domain +
                (order.reclaimable ? "/reclaimable" : "/on-demand")];
    const bool changed =
        last.given ? last.count != order.count : serving != order.count;
    const bool missing =
        serving != order.count && last.given && last.repeat_at.Expired(Now());
    if (!changed && !missing) {
      co_return;
    }
    const duty_result result =
        co_await cloud_.OrderEngines(order, lease_.fencing(), CallLimit());
    last.given = true;
    last.count = order.count;
    const duration wait = result == duty_result::kDone
                              ? service.scaling->boot_time + kOrderSlack
                              : kUnavailablePause;
    last.repeat_at = deadline::After(Now(), wait);
    if (order.reclaimable && result == duty_result::kUnavailable) {
      refused_[order.service].until = deadline::After(Now(), kRefusedMemory);
    }
    Log(result == duty_result::kDone ? log_level::kInfo : log_level::kWarning,
        log_event::kEnginesOrdered,
        {{"service", order.service},
         {"domain", order.domain},
         {"reclaimable", order.reclaimable ? "yes" : "no"},
         {"wanted", std::to_string(order.count)},
         {"serving", std::to_string(serving)},
         {"busy_permille", std::to_string(static_cast<int>(
                               demand_[order.service].busy_engines() * 1000))},
         {"fencing", std::to_string(lease_.fencing())},
         {"result", std::to_string(static_cast<int>(result))}});
  }

  gateway_state& state_;
  const report_board& board_;
  Store& store_;
  Cloud& cloud_;
  lease_runner<Store, steady_source> lease_;
  time_point started_;
  time_point unheld_since_;
  lease_finding last_finding_ = lease_finding::kHeldByOther;
  std::set<std::uint64_t> reported_;
  std::map<std::string, demand_estimate> demand_;
  std::map<std::string, order_state> orders_;
  std::map<std::string, settling_state> settling_;
  std::map<std::string, refusal_memory> refused_;
};

}  // namespace anvilloom

#endif  // ENTRY_DUTY_RUNNER_H_
