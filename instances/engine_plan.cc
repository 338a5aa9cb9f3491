#include "instances/engine_plan.h"

#include <algorithm>
#include <cmath>

namespace anvilloom {

namespace {

std::uint32_t EngineCount(double busy, double utilization) {
  return static_cast<std::uint32_t>(std::ceil(busy / utilization));
}

// Distributes `count` engines of one kind round robin, in the order of `plan`.
// No domain gets more than `max_per_domain` engines of both kinds together.
void Distribute(std::vector<planned_engines>& plan,
                std::uint32_t planned_engines::*kind,
                std::uint32_t count,
                std::uint32_t max_per_domain) {
  bool placed = true;
  while (count > 0 && placed) {
    placed = false;
    for (planned_engines& each : plan) {
      if (count > 0 && each.on_demand + each.reclaimable < max_per_domain) {
        ++(each.*kind);
        --count;
        placed = true;
      }
    }
  }
}

}  // namespace

std::vector<planned_engines> PlanEngines(const scaling_terms& terms,
                                         const engine_demand& demand,
                                         const engine_plan_options& options) {
  std::vector<std::pair<double, std::string>> by_price;
  for (const auto& [domain, price] : terms.domain_prices) {
    by_price.emplace_back(price, domain);
  }
  std::ranges::sort(by_price);
  std::vector<planned_engines> wanted;
  wanted.reserve(by_price.size());
  for (const auto& [price, domain] : by_price) {
    wanted.push_back({domain, 0, 0});
  }
  const std::uint32_t on_demand_count = std::max(
      EngineCount(demand.busy_engines, options.reclaim_utilization), 1U);
  const std::uint32_t total =
      std::max(EngineCount(demand.busy_engines, options.target_utilization),
               on_demand_count);
  const std::uint32_t reclaimable = total - on_demand_count;
  const std::uint32_t unavailable =
      reclaimable > demand.reclaimable_available
          ? reclaimable - demand.reclaimable_available
          : 0;
  Distribute(wanted, &planned_engines::on_demand, on_demand_count + unavailable,
             terms.max_engines);
  Distribute(wanted, &planned_engines::reclaimable, reclaimable,
             terms.max_engines);
  for (planned_engines& each : wanted) {
    const std::uint32_t sum = each.on_demand + each.reclaimable;
    if (sum < terms.min_engines) {
      each.reclaimable += terms.min_engines - sum;
    }
  }
  return wanted;
}

}  // namespace anvilloom
