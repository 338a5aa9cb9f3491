// Defines PlanEngines, which decides how many engines of each kind a service
// has in each failure domain.
#ifndef INSTANCES_ENGINE_PLAN_H_
#define INSTANCES_ENGINE_PLAN_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "contracts/manifest.h"

namespace anvilloom {

// Engines of a service in one failure domain that serve now.
struct domain_engines {
  std::string domain;
  std::uint32_t on_demand = 0;
  std::uint32_t reclaimable = 0;
};

// How much the plan provides for.
struct engine_plan_terms {
  // Share of an engine's reading time that is planned to be busy. Calls come in
  // bursts of three times the mean, and a call that waits longer than its
  // latency target earns a tenth.
  double target_utilization = 0.34;
  // The engines on demand carry the load with this utilization when the cloud
  // takes all reclaimable ones at once.
  double reclaim_utilization = 0.8;
};

// What the plan is made for.
struct engine_need {
  // Reading time that calls ask for, per second of time.
  double busy_engines = 0;
  // Reclaimable engines that can be had: those that serve while the cloud
  // refuses further ones, and otherwise no less than could be wanted.
  std::uint32_t reclaimable_obtainable = UINT32_MAX;
};

// Engines wanted in one failure domain.
struct wanted_engines {
  std::string domain;
  std::uint32_t on_demand = 0;
  std::uint32_t reclaimable = 0;

  friend bool operator==(const wanted_engines&,
                         const wanted_engines&) = default;
};

// Engines on demand go to the cheapest failure domains first, reclaimable ones
// are spread evenly, since the cloud takes those of a whole domain at once.
// Engines on demand stand in for reclaimable ones that can't be had. Returns
// one entry for each domain with a price.
std::vector<wanted_engines> PlanEngines(const scaling_terms& terms,
                                        const engine_need& need,
                                        const engine_plan_terms& plan);

}  // namespace anvilloom

#endif  // INSTANCES_ENGINE_PLAN_H_
