// Defines engine_scaler, which scales the number of engines of each service to
// its load.
#ifndef ENTRY_ENGINE_SCALER_H_
#define ENTRY_ENGINE_SCALER_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/log.h"
#include "entry/cloud_duties.h"
#include "entry/engine_inventory.h"
#include "entry/gateway_state.h"
#include "instances/engine_plan.h"
#include "instances/peer_report.h"

namespace anvilloom {

// Not thread-safe; used on the control thread only. Every instance observes the
// load, so that a new holder of the duty lease knows it already; only the
// holder orders engines.
template <cloud_duties Cloud>
class engine_scaler {
 public:
  engine_scaler(gateway_state& state,
                const peer_report_table& peer_reports,
                Cloud& cloud)
      : state_(state), peer_reports_(peer_reports), cloud_(cloud) {}

  // Records the current load and number of engines of each scaled service.
  void Observe() {
    const auto view = state_.View();
    if (!view->manifest) {
      return;
    }
    for (const manifest_service& service : view->manifest->source().services) {
      if (service.scaling && service.model) {
        const upstream_pool& pool = *view->FindPool(service.name);
        services_[service.name].inventory.Update(
            pool,
            pool.stats->read_tokens.load(std::memory_order_relaxed) +
                peer_reports_.PeerReadTokens(service.name),
            pool.stats->profile.profile().mean_us_per_token,
            state_.clock.Now());
      }
    }
  }

  // Sends the orders that are due, each in its own coroutine, so that an order
  // without a response does not delay the others. `fencing` is the fencing
  // number of the duty lease.
  awaitable<void> PlaceOrders(std::uint64_t fencing) {
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto view = state_.View();
    if (!view->manifest) {
      co_return;
    }
    for (const manifest_service& service : view->manifest->source().services) {
      const auto found = services_.find(service.name);
      if (found == services_.end() || !found->second.inventory.settled()) {
        continue;
      }
      for (const engine_order& order : DueOrders(service, found->second)) {
        order_state& state = found->second.orders[KeyOf(order)];
        state.in_flight = true;
        boost::asio::co_spawn(
            executor,
            SendOrder(order, fencing, service.scaling->boot_time,
                      found->second),
            boost::asio::detached);
      }
    }
  }

 private:
  static constexpr duration kCallTimeout = std::chrono::milliseconds(1000);
  // Added to the boot time of an engine; an order that is not fulfilled by then
  // is sent again.
  static constexpr duration kOrderSlack = std::chrono::seconds(3);
  // Delay before an order that did not succeed is retried.
  static constexpr duration kRetryDelay = std::chrono::seconds(2);
  // Longer than the retry delay, so that consecutive refusals count as one
  // shortage.
  static constexpr duration kShortagePeriod = std::chrono::milliseconds(3500);

  struct order_state {
    std::uint32_t count = 0;
    bool sent = false;
    bool in_flight = false;
    deadline retry_at = deadline(time_point::min());
  };

  struct service_state {
    engine_inventory inventory;
    std::map<std::string, order_state> orders;
    // Time until which the cloud is assumed to have no reclaimable engines.
    deadline shortage_until = deadline(time_point::min());
  };

  static std::string KeyOf(const engine_order& order) {
    return order.domain + (order.reclaimable ? "/reclaimable" : "/on-demand");
  }

  std::vector<engine_order> DueOrders(const manifest_service& service,
                                      service_state& state) {
    const time_point now = state_.clock.Now();
    const engine_inventory& inventory = state.inventory;
    engine_demand need;
    need.busy_engines = inventory.busy_engines();
    const bool shortage = !state.shortage_until.Expired(now);
    if (shortage) {
      need.reclaimable_available = inventory.reclaimable();
    }
    const auto wanted = PlanEngines(*service.scaling, need, {});
    std::uint32_t wanted_reclaimable = 0;
    for (const planned_engines& each : wanted) {
      wanted_reclaimable += each.reclaimable;
    }
    std::vector<engine_order> due;
    for (const planned_engines& each : wanted) {
      const domain_engine_counts serving = inventory.EnginesIn(each.domain);
      AddIfDue(state, {service.name, each.domain, true, each.reclaimable},
               serving.reclaimable, due);
      // On-demand engines are released once enough reclaimable ones serve or
      // none can be obtained.
      const bool replaced =
          shortage || inventory.reclaimable() >= wanted_reclaimable;
      if (each.on_demand >= serving.on_demand || replaced) {
        AddIfDue(state, {service.name, each.domain, false, each.on_demand},
                 serving.on_demand, due);
      }
    }
    return due;
  }

  void AddIfDue(service_state& state,
                const engine_order& order,
                std::uint32_t serving,
                std::vector<engine_order>& due) {
    order_state& last = state.orders[KeyOf(order)];
    if (last.in_flight) {
      return;
    }
    const bool changed =
        last.sent ? last.count != order.count : serving != order.count;
    const bool missing = last.sent && serving != order.count &&
                         last.retry_at.Expired(state_.clock.Now());
    if (changed || missing) {
      due.push_back(order);
    }
  }

  // Takes parameters by value, since the coroutine outlives its caller. `state`
  // is an element of a std::map, whose address is stable.
  awaitable<void> SendOrder(engine_order order,
                            std::uint64_t fencing,
                            duration boot_time,
                            service_state& state) {
    const deadline limit = deadline::After(state_.clock.Now(), kCallTimeout);
    const duty_result result =
        co_await cloud_.OrderEngines(order, fencing, limit);
    const time_point now = state_.clock.Now();
    order_state& last = state.orders[KeyOf(order)];
    last.in_flight = false;
    last.sent = true;
    last.count = order.count;
    last.retry_at = deadline::After(now, result == duty_result::kDone
                                             ? boot_time + kOrderSlack
                                             : kRetryDelay);
    if (order.reclaimable && result == duty_result::kUnavailable) {
      state.shortage_until = deadline::After(now, kShortagePeriod);
    }
    Log(result == duty_result::kDone ? log_level::kInfo : log_level::kWarning,
        log_event::kEnginesOrdered,
        {{"service", order.service},
         {"domain", order.domain},
         {"reclaimable", order.reclaimable ? "yes" : "no"},
         {"wanted", std::to_string(order.count)},
         {"serving", std::to_string(state.inventory.engines())},
         {"busy_permille", std::to_string(static_cast<int>(
                               state.inventory.busy_engines() * 1000))},
         {"fencing", std::to_string(fencing)},
         {"result", std::string(Name(result))}});
  }

  gateway_state& state_;
  const peer_report_table& peer_reports_;
  Cloud& cloud_;
  std::map<std::string, service_state> services_;
};

}  // namespace anvilloom

#endif  // ENTRY_ENGINE_SCALER_H_
