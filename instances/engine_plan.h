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
struct domain_engine_counts {
  std::string domain;
  std::uint32_t on_demand = 0;
  std::uint32_t reclaimable = 0;
};

// Utilization targets of the plan.
struct engine_plan_options {
  // Planned utilization of an engine by prompt processing. Calls arrive in
  // bursts of three times the mean rate, and a call that misses its latency
  // target counts only a tenth.
  double target_utilization = 0.34;
  // Utilization of the on-demand engines if the cloud reclaims all reclaimable
  // engines at once.
  double reclaim_utilization = 0.8;
};

// Demand that the plan must cover.
struct engine_demand {
  // Seconds of engine time that prompt processing needs per second.
  double busy_engines = 0;
  // Number of reclaimable engines available: the ones that serve now if the
  // cloud refuses further ones, and otherwise unlimited.
  std::uint32_t reclaimable_available = UINT32_MAX;
};

// Target number of engines in one failure domain.
struct planned_engines {
  std::string domain;
  std::uint32_t on_demand = 0;
  std::uint32_t reclaimable = 0;

  friend bool operator==(const planned_engines&,
                         const planned_engines&) = default;
};

// Distributes engines round robin over the failure domains, cheapest first. The
// even distribution matters for reclaimable engines, since the cloud reclaims
// those of a whole domain at once. On-demand engines replace reclaimable ones
// that are not available. Returns one entry for each domain that has a price.
std::vector<planned_engines> PlanEngines(const scaling_terms& terms,
                                         const engine_demand& demand,
                                         const engine_plan_options& options);

}  // namespace anvilloom

#endif  // INSTANCES_ENGINE_PLAN_H_
