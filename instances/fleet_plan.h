// Defines fleet_plan, which makes the decisions of the fleet lease holder:
// which instances to start, in which machine class and failure domain,
// reclaimable or on demand, and which engine loads which model.
#ifndef INSTANCES_FLEET_PLAN_H_
#define INSTANCES_FLEET_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "common/time.h"
#include "instances/instance.h"

namespace anvilloom {

// A kind of instance that can be requested from the cloud.
struct fleet_offer {
  std::string domain;
  std::string machine_class;
  bool reclaimable = false;
  micro_price price_per_hour = 0;
  // Number of concurrent requests of an engine on such an instance.
  std::uint32_t slots = 1;
};

// Capacity that a model requires.
struct model_requirement {
  std::string model;
  std::uint32_t slots = 0;
  // Slots that must remain if the cloud reclaims every reclaimable instance.
  std::uint32_t on_demand_slots = 0;
};

// State of an engine, from its own report and the instance list.
struct fleet_engine {
  std::string name;
  std::string domain;
  bool reclaimable = false;
  std::uint32_t slots = 1;
  // The model that is loaded or being loaded; empty for none.
  std::string model;
  bool loading = false;
  // The only model that the engine may load; empty if it may load any. Requests
  // are routed by the configuration, which lists the services of the engine.
  std::string allowed_model;
  // Started, but has not reported yet.
  bool starting = false;
  bool leaving = false;
};

// A request to the cloud for one instance that will serve `model`. `offer` is
// an index into the offers of the round.
struct start_order {
  std::size_t offer;
  std::string model;
};

// A command to an engine to load a model. It states the complete target state,
// so it is idempotent: repeats and late deliveries don't accumulate.
struct load_order {
  std::string engine;
  std::string model;
  // Engines that check the fencing number reject orders of an earlier lease
  // holder.
  std::uint64_t fencing;
};

struct fleet_orders {
  std::vector<start_order> starts;
  std::vector<load_order> loads;
};

// Limits of the plan.
struct fleet_plan_options {
  // Maximum number of concurrent model loads, given by the throughput of the
  // weight store.
  std::uint32_t concurrent_loads = 4;
  // How long a refused offer is not requested again, in microseconds.
  duration refusal_backoff = std::chrono::seconds(60);
};

// Only the refused offers are kept between rounds. Each round starts from the
// latest engine reports and orders only what differs from the plan. This also
// covers engines that ignore fencing: the effect of a late order from an
// earlier lease holder is visible in the next report and corrected. Not
// thread-safe.
class fleet_plan {
 public:
  explicit fleet_plan(const fleet_plan_options& options) : terms_(options) {}

  // Records that the cloud refused to start an instance of this offer.
  void RecordRefusal(const fleet_offer& offer, time_point now);

  // Returns the orders of one round. `fencing` is the fencing number of the
  // fleet lease.
  fleet_orders Plan(std::span<const model_requirement> needs,
                    std::span<const fleet_offer> offers,
                    std::span<const fleet_engine> engines,
                    std::uint64_t fencing,
                    time_point now) const;

 private:
  struct refused_offer {
    fleet_offer offer;
    deadline until;
  };

  bool IsInBackoff(const fleet_offer& offer, time_point now) const;

  fleet_plan_options terms_;
  std::vector<refused_offer> refused_offers_;
};

}  // namespace anvilloom

#endif  // INSTANCES_FLEET_PLAN_H_
