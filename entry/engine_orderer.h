// Defines engine_orderer, which keeps the engines of each service at the number
// that its load needs.
#ifndef ENTRY_ENGINE_ORDERER_H_
#define ENTRY_ENGINE_ORDERER_H_

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
#include "entry/engine_census.h"
#include "entry/gateway_state.h"
#include "instances/engine_plan.h"
#include "instances/peer_report.h"

namespace anvilloom {

// Belongs to the control thread. Every instance observes, so that the one that
// takes over the duties knows the load; only the holder of the duties orders.
template <cloud_duties Cloud>
class engine_orderer {
 public:
  engine_orderer(gateway_state& state, const report_board& board, Cloud& cloud)
      : state_(state), board_(board), cloud_(cloud) {}

  // Takes in the load and the engines that serve.
  void Observe() {
    const auto view = state_.View();
    if (!view->manifest) {
      return;
    }
    for (const manifest_service& service : view->manifest->source().services) {
      if (service.scaling && service.model) {
        const upstream_pool& pool = *view->FindPool(service.name);
        services_[service.name].census.Take(
            pool,
            pool.meter->read_tokens.load(std::memory_order_relaxed) +
                board_.ReadElsewhere(service.name),
            state_.costs.read_us_per_token, state_.clock.Now());
      }
    }
  }

  // Gives the orders that are due, each in a coroutine of its own: an order
  // that gets no answer delays no other. `fencing` is that of the duty lease.
  awaitable<void> Order(std::uint64_t fencing) {
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto view = state_.View();
    if (!view->manifest) {
      co_return;
    }
    for (const manifest_service& service : view->manifest->source().services) {
      const auto found = services_.find(service.name);
      if (found == services_.end() || !found->second.census.settled()) {
        continue;
      }
      for (const engine_order& order : Due(service, found->second)) {
        order_state& state = found->second.orders[KeyOf(order)];
        state.under_way = true;
        boost::asio::co_spawn(
            executor,
            Give(order, fencing, service.scaling->boot_time, found->second),
            boost::asio::detached);
      }
    }
  }

 private:
  static constexpr duration kCallLimit = std::chrono::milliseconds(1000);
  // An order that brought nothing is repeated after the boot time and this.
  static constexpr duration kOrderSlack = std::chrono::seconds(3);
  // Between two tries for engines that were not to be had.
  static constexpr duration kUnavailablePause = std::chrono::seconds(2);
  // Longer than kUnavailablePause, so that refusals in a row count as one.
  static constexpr duration kRefusedMemory = std::chrono::milliseconds(3500);

  struct order_state {
    std::uint32_t count = 0;
    bool given = false;
    bool under_way = false;
    deadline repeat_at = deadline(time_point::min());
  };

  struct service_state {
    engine_census census;
    std::map<std::string, order_state> orders;
    // Until when the cloud is taken to have no reclaimable engines.
    deadline refused_until = deadline(time_point::min());
  };

  static std::string KeyOf(const engine_order& order) {
    return order.domain + (order.reclaimable ? "/reclaimable" : "/on-demand");
  }

  std::vector<engine_order> Due(const manifest_service& service,
                                service_state& state) {
    const time_point now = state_.clock.Now();
    const engine_census& census = state.census;
    engine_need need;
    need.busy_engines = census.busy_engines();
    const bool refused = !state.refused_until.Expired(now);
    if (refused) {
      need.reclaimable_obtainable = census.reclaimable();
    }
    const auto wanted = PlanEngines(*service.scaling, need, {});
    std::uint32_t wanted_reclaimable = 0;
    for (const wanted_engines& each : wanted) {
      wanted_reclaimable += each.reclaimable;
    }
    std::vector<engine_order> due;
    for (const wanted_engines& each : wanted) {
      const domain_engines serving = census.In(each.domain);
      AddIfDue(state, {service.name, each.domain, true, each.reclaimable},
               serving.reclaimable, due);
      // Engines on demand are given back once the reclaimable ones serve.
      const bool replaced =
          refused || census.reclaimable() >= wanted_reclaimable;
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
    if (last.under_way) {
      return;
    }
    const bool changed =
        last.given ? last.count != order.count : serving != order.count;
    const bool missing = last.given && serving != order.count &&
                         last.repeat_at.Expired(state_.clock.Now());
    if (changed || missing) {
      due.push_back(order);
    }
  }

  // Parameters by value: the coroutine outlives its caller. `state` is an
  // element of a map that keeps its place.
  awaitable<void> Give(engine_order order,
                       std::uint64_t fencing,
                       duration boot_time,
                       service_state& state) {
    const deadline limit = deadline::After(state_.clock.Now(), kCallLimit);
    const duty_result result =
        co_await cloud_.OrderEngines(order, fencing, limit);
    const time_point now = state_.clock.Now();
    order_state& last = state.orders[KeyOf(order)];
    last.under_way = false;
    last.given = true;
    last.count = order.count;
    last.repeat_at = deadline::After(now, result == duty_result::kDone
                                              ? boot_time + kOrderSlack
                                              : kUnavailablePause);
    if (order.reclaimable && result == duty_result::kUnavailable) {
      state.refused_until = deadline::After(now, kRefusedMemory);
    }
    Log(result == duty_result::kDone ? log_level::kInfo : log_level::kWarning,
        log_event::kEnginesOrdered,
        {{"service", order.service},
         {"domain", order.domain},
         {"reclaimable", order.reclaimable ? "yes" : "no"},
         {"wanted", std::to_string(order.count)},
         {"serving", std::to_string(state.census.engines())},
         {"busy_permille",
          std::to_string(static_cast<int>(state.census.busy_engines() * 1000))},
         {"fencing", std::to_string(fencing)},
         {"result", std::string(Name(result))}});
  }

  gateway_state& state_;
  const report_board& board_;
  Cloud& cloud_;
  std::map<std::string, service_state> services_;
};

}  // namespace anvilloom

#endif  // ENTRY_ENGINE_ORDERER_H_
