// Defines fleet_plan, the decisions of the holder of the fleet lease: which
// instances to start, in which machine class and failure domain, reclaimable or
// on demand, and which engine loads which model.
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

// A kind of instance that the cloud can be asked for.
struct fleet_offer {
  std::string domain;
  std::string machine_class;
  bool reclaimable = false;
  micro_price price_per_hour = 0;
  // Requests that an engine on it runs at once.
  std::uint32_t slots = 1;
};

// What a model needs.
struct fleet_need {
  std::string model;
  std::uint32_t slots = 0;
  // Slots that must stay when every reclaimable instance is taken back.
  std::uint32_t on_demand_slots = 0;
};

// An engine as its own report and the instance list describe it.
struct fleet_engine {
  std::string name;
  std::string domain;
  bool reclaimable = false;
  std::uint32_t slots = 1;
  // The model that it answers with, or that it is loading; empty for none.
  std::string model;
  bool loading = false;
  // The only model that it may have; empty if it may have any. Requests reach
  // the engine by the configuration, which names its services.
  std::string only_model;
  // Started, and not yet reporting.
  bool starting = false;
  bool leaving = false;
};

// Asks the cloud for one instance, to be used for `model`.
struct start_order {
  std::size_t offer;
  std::string model;
};

// Tells an engine which model it must have. States the whole wanted state, so
// that repeating it, or sending it late, can't add up to anything else.
struct load_order {
  std::string engine;
  std::string model;
  // Engines that check it refuse an order of an earlier holder.
  std::uint64_t fencing;
};

struct fleet_orders {
  std::vector<start_order> starts;
  std::vector<load_order> loads;
};

// Bounds of the plan.
struct fleet_terms {
  // Weight loads that may be under way at once, from the weight store's rate.
  std::uint32_t concurrent_loads = 4;
  // How long an offer that was refused is left alone, in microseconds.
  duration refusal_pause = std::chrono::seconds(60);
};

// Remembers refused offers between rounds. Each round reads the reports of the
// engines anew and orders only what differs from the plan. That is also what
// protects engines that ignore fencing: an order of an earlier holder that
// arrives late is seen in the next report and put right.
class fleet_plan {
 public:
  explicit fleet_plan(const fleet_terms& terms) : terms_(terms) {}

  // The cloud refused to start an instance of this offer.
  void Refused(const fleet_offer& offer, time_point now);

  // The orders of one round. `fencing` is that of the lease.
  fleet_orders Plan(std::span<const fleet_need> needs,
                    std::span<const fleet_offer> offers,
                    std::span<const fleet_engine> engines,
                    std::uint64_t fencing,
                    time_point now) const;

 private:
  struct refused_offer {
    fleet_offer offer;
    deadline until;
  };

  bool IsPaused(const fleet_offer& offer, time_point now) const;

  fleet_terms terms_;
  std::vector<refused_offer> refused_;
};

}  // namespace anvilloom

#endif  // INSTANCES_FLEET_PLAN_H_
