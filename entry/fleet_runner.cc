#include "entry/fleet_runner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <utility>

#include "common/log.h"
#include "entry/claim_sweeper.h"
#include "wire/engine_orders.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
using http_verb = boost::beast::http::verb;

constexpr std::string_view kFleetLease = "fleet";
// The proportions of the default timing: a period of 15 s, renewal every 4 s
// and a stop margin of 3 s.
constexpr int kPeriodParts = 15;
constexpr int kRenewParts = 4;
constexpr int kMarginParts = 3;
// Number of times per renewal interval that the holder checks whether the
// renewal is due.
constexpr int kChecksPerRenewal = 4;

// Retention periods are hours or days, so a coarse interval suffices.
constexpr duration kSweepInterval = std::chrono::minutes(10);
constexpr duration kSweepRetryDelay = std::chrono::seconds(10);
constexpr duration kSweepTimeout = std::chrono::seconds(30);
// Interval at which the sweep checks whether this instance holds the lease.
constexpr duration kSweepCheckInterval = std::chrono::seconds(1);
// Engines answer within milliseconds; an unresponsive one delays the round.
constexpr duration kReportTimeout = std::chrono::milliseconds(500);
constexpr duration kOrderTimeout = std::chrono::seconds(1);

// Returns the number of slots that the configuration requires for each model.
std::vector<model_requirement> ComputeNeeds(
    std::span<const fleet_engine> engines) {
  std::vector<model_requirement> needs;
  for (const fleet_engine& engine : engines) {
    if (engine.leaving) {
      continue;
    }
    auto found = std::ranges::find(needs, engine.allowed_model,
                                   &model_requirement::model);
    if (found == needs.end()) {
      needs.push_back({engine.allowed_model, 0, 0});
      found = needs.end() - 1;
    }
    found->slots += engine.slots;
  }
  return needs;
}

// Returns the model that all services of the upstream use; nothing if a service
// has none or they use several, since the router assumes that the model of each
// service is loaded.
std::optional<std::string> OnlyModel(const topology& world,
                                     const upstream& target) {
  std::optional<std::string> only;
  for (const service_index offered : target.services) {
    const std::string& model = world.at(offered).model;
    if (model.empty() || (only && *only != model)) {
      return std::nullopt;
    }
    only = model;
  }
  return only;
}

}  // namespace

lease_timing ScaleLeaseTiming(duration period) {
  const duration part = period / kPeriodParts;
  return {period, part * kRenewParts, part * kMarginParts};
}

fleet_runner::fleet_runner(process_state& process,
                           net::any_io_executor executor)
    : process_(process),
      executor_(std::move(executor)),
      terms_(ScaleLeaseTiming(
          std::chrono::milliseconds(process.settings.fleet_lease_ms))),
      store_(executor_, process.settings.object_api),
      engines_(executor_),
      lease_(store_, process.clock, kFleetLease, process.RunName(), terms_) {}

void fleet_runner::Start() {
  if (!process_.settings.fleet) {
    return;
  }
  net::co_spawn(executor_, MaintainLease(), net::detached);
  net::co_spawn(executor_, RunSweeps(), net::detached);
  net::co_spawn(executor_, RunRounds(), net::detached);
}

fleet_status fleet_runner::Status() const {
  fleet_status status = status_;
  if (const auto& seen = lease_.seen()) {
    status.holder = seen->holder;
    status.fencing = seen->fencing;
  }
  status.acts = MayAct();
  if (status.rounds > 0) {
    status.since_round = process_.clock.Now() - last_round_;
  }
  return status;
}

awaitable<void> fleet_runner::MaintainLease() {
  for (;;) {
    // A draining instance lets its lease expire.
    if (!process_.draining.load(std::memory_order_acquire)) {
      const lease_step_result result = co_await lease_.Step();
      LogChange(result);
    }
    const bool holds = held_;
    co_await Pause(holds ? terms_.renew_interval / kChecksPerRenewal
                         : terms_.renew_interval);
  }
}

void fleet_runner::LogChange(lease_step_result result) {
  const bool held = result == lease_step_result::kHeld;
  const bool lost = result == lease_step_result::kHeldByOther ||
                    result == lease_step_result::kUnreadable;
  if (held && !held_) {
    Log(log_level::kInfo, log_event::kLeaseTaken,
        {{"fencing", std::to_string(lease_.fencing())}});
  } else if (held_ && lost) {
    Log(log_level::kWarning, log_event::kLeaseLost,
        {{"fencing", std::to_string(lease_.fencing())}});
  }
  held_ = held || (held_ && !lost);
  if (result == std::exchange(last_result_, result)) {
    return;
  }
  if (result == lease_step_result::kUnreadable) {
    Log(log_level::kError, log_event::kLeaseUnreadable);
  } else if (result == lease_step_result::kUnavailable) {
    Log(log_level::kWarning, log_event::kLeaseStoreUnavailable);
  }
}

bool fleet_runner::MayAct() const {
  return lease_.MayAct() && !process_.draining.load(std::memory_order_acquire);
}

deadline fleet_runner::CallDeadline(duration timeout) const {
  return deadline::After(process_.clock.Now(), timeout)
      .Earlier(lease_.act_by());
}

awaitable<void> fleet_runner::RunSweeps() {
  deadline next(time_point::min());
  std::uint64_t swept_fencing = 0;
  for (;;) {
    const std::uint64_t fencing = lease_.fencing();
    const bool due = next.Expired(process_.clock.Now());
    if (MayAct() && (due || fencing != swept_fencing)) {
      const bool swept = co_await Sweep();
      swept_fencing = fencing;
      next = deadline::After(process_.clock.Now(),
                             swept ? kSweepInterval : kSweepRetryDelay);
    }
    co_await Pause(kSweepCheckInterval);
  }
}

awaitable<bool> fleet_runner::Sweep() {
  std::chrono::seconds retention{0};
  {
    const rcu_read_guard guard;
    const topology& world = process_.world.Read(guard);
    // The retention period is part of the configuration.
    if (world.revision() == 0) {
      co_return false;
    }
    retention = std::chrono::seconds(world.limits().claim_retention_s);
  }
  std::function<bool()> may_act = [this] { return MayAct(); };
  const auto deleted =
      co_await SweepClaims(store_, WallClockSeconds(), retention,
                           CallDeadline(kSweepTimeout), std::move(may_act));
  status_.claims_deleted += deleted ? *deleted : 0;
  co_return deleted.has_value();
}

awaitable<void> fleet_runner::RunRounds() {
  for (;;) {
    if (MayAct()) {
      co_await RunRound();
    }
    co_await Pause(std::chrono::milliseconds(process_.settings.fleet_round_ms));
  }
}

awaitable<void> fleet_runner::RunRound() {
  const std::uint64_t fencing = lease_.fencing();
  std::vector<managed_engine> managed = ManagedEngines();
  std::vector<fleet_engine> engines;
  for (managed_engine& each : managed) {
    const bool reported = co_await ReadReport(each);
    if (reported) {
      engines.push_back(each.engine);
    }
  }
  fleet_plan_options terms;
  {
    const rcu_read_guard guard;
    terms.concurrent_loads =
        process_.world.Read(guard).limits().concurrent_loads;
  }
  const std::vector<model_requirement> needs = ComputeNeeds(engines);
  const fleet_orders orders =
      fleet_plan(terms).Plan(needs, {}, engines, fencing, process_.clock.Now());
  for (const load_order& order : orders.loads) {
    // The lease may have expired while the reports were read.
    if (!MayAct() || lease_.fencing() != fencing) {
      co_return;
    }
    const auto target =
        std::ranges::find_if(managed, [&](const managed_engine& each) {
          return each.engine.name == order.engine;
        });
    co_await SendOrder(order, target->address);
  }
  ++status_.rounds;
  status_.engines_seen = engines.size();
  status_.loads_planned = orders.loads.size();
  last_round_ = process_.clock.Now();
}

std::vector<fleet_runner::managed_engine> fleet_runner::ManagedEngines() const {
  std::vector<managed_engine> managed;
  const rcu_read_guard guard;
  const topology& world = process_.world.Read(guard);
  for (std::size_t i = 0; i < world.upstreams().size(); ++i) {
    const upstream& target = world.upstreams()[i];
    const auto model = OnlyModel(world, target);
    if (!model) {
      continue;
    }
    managed_engine each;
    each.address = target.address;
    each.engine.name = target.name;
    each.engine.domain = target.host.domain();
    each.engine.reclaimable = target.host.reclaimable();
    each.engine.slots = target.slots;
    each.engine.allowed_model = *model;
    each.engine.leaving =
        world.links()[i]->condition() == link_condition::kLeaving;
    managed.push_back(std::move(each));
  }
  return managed;
}

awaitable<bool> fleet_runner::ReadReport(managed_engine& managed) {
  const auto answer = co_await engines_.Exchange(
      managed.address, MakeRequest(http_verb::get, "/load"),
      CallDeadline(kReportTimeout));
  if (!answer || answer->result() != http_status::ok) {
    co_return false;
  }
  auto report = DecodeModelReport(answer->body());
  if (!report) {
    co_return false;
  }
  managed.engine.model = std::move(report->model);
  managed.engine.loading = report->loading;
  co_return true;
}

awaitable<void> fleet_runner::SendOrder(load_order order, std::string address) {
  ++status_.orders_sent;
  const std::string body = EncodeLoadOrder(order);
  const auto answer = co_await engines_.Exchange(
      address, MakeRequest(http_verb::post, "/orders", body),
      CallDeadline(kOrderTimeout), connection_use::kFresh, lease_.act_by());
  if (answer && answer->result() == http_status::ok) {
    Log(log_level::kInfo, log_event::kModelOrdered,
        {{"upstream", order.engine},
         {"model", order.model},
         {"fencing", std::to_string(order.fencing)}});
    co_return;
  }
  ++status_.orders_failed;
  Log(log_level::kWarning, log_event::kOrderFailed,
      {{"upstream", order.engine},
       {"fencing", std::to_string(order.fencing)},
       {"status", answer ? std::to_string(answer->result_int()) : "none"}});
}

}  // namespace anvilloom
