#include "instances/fleet_plan.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <tuple>

namespace anvilloom {

namespace {

bool MayLoad(const fleet_engine& engine, std::string_view model) {
  return engine.allowed_model.empty() || engine.allowed_model == model;
}

// The engines of one round, updated with the orders issued so far.
class planning_round {
 public:
  explicit planning_round(std::span<const fleet_engine> engines)
      : engines_(engines.begin(), engines.end()) {}

  std::span<fleet_engine> engines() { return engines_; }

  void Add(const fleet_offer& offer, std::string_view model) {
    fleet_engine started;
    started.domain = offer.domain;
    started.reclaimable = offer.reclaimable;
    started.slots = offer.slots;
    started.model = model;
    started.starting = true;
    engines_.push_back(std::move(started));
  }

  std::uint32_t Slots(std::string_view model) const {
    return Sum(model, [](const fleet_engine&) { return true; });
  }

  std::uint32_t OnDemandSlots(std::string_view model) const {
    return Sum(model, [](const fleet_engine& e) { return !e.reclaimable; });
  }

  std::uint32_t SlotsIn(std::string_view model, std::string_view domain) const {
    return Sum(model,
               [&](const fleet_engine& e) { return e.domain == domain; });
  }

  std::uint32_t LoadsInProgress() const {
    return static_cast<std::uint32_t>(std::ranges::count_if(
        engines_, [](const fleet_engine& e) { return e.loading; }));
  }

 private:
  template <typename Predicate>
  std::uint32_t Sum(std::string_view model, Predicate predicate) const {
    std::uint32_t sum = 0;
    for (const fleet_engine& engine : engines_) {
      if (engine.model == model && MayLoad(engine, model) && !engine.leaving &&
          predicate(engine)) {
        sum += engine.slots;
      }
    }
    return sum;
  }

  std::vector<fleet_engine> engines_;
};

bool SameOffer(const fleet_offer& left, const fleet_offer& right) {
  return left.domain == right.domain &&
         left.machine_class == right.machine_class &&
         left.reclaimable == right.reclaimable;
}

const model_requirement* FindNeed(std::span<const model_requirement> needs,
                                  std::string_view model) {
  const auto found = std::ranges::find(needs, model, &model_requirement::model);
  return found == needs.end() ? nullptr : &*found;
}

// Whether the requirements of the engine's current model are met without the
// engine.
bool IsSpare(const planning_round& round,
             std::span<const model_requirement> needs,
             const fleet_engine& engine) {
  if (engine.leaving || engine.loading || engine.starting) {
    return false;
  }
  const model_requirement* need = FindNeed(needs, engine.model);
  if (need == nullptr || !MayLoad(engine, engine.model)) {
    return true;
  }
  const bool enough = round.Slots(engine.model) >= need->slots + engine.slots;
  const bool enough_on_demand =
      engine.reclaimable ||
      round.OnDemandSlots(engine.model) >= need->on_demand_slots + engine.slots;
  return enough && enough_on_demand;
}

}  // namespace

void fleet_plan::RecordRefusal(const fleet_offer& offer, time_point now) {
  std::erase_if(refused_offers_, [&](const refused_offer& known) {
    return known.until.Expired(now) || SameOffer(known.offer, offer);
  });
  refused_offers_.push_back(
      {offer, deadline::After(now, terms_.refusal_backoff)});
}

bool fleet_plan::IsInBackoff(const fleet_offer& offer, time_point now) const {
  return std::ranges::any_of(refused_offers_, [&](const refused_offer& known) {
    return SameOffer(known.offer, offer) && !known.until.Expired(now);
  });
}

fleet_orders fleet_plan::Plan(std::span<const model_requirement> needs,
                              std::span<const fleet_offer> offers,
                              std::span<const fleet_engine> engines,
                              std::uint64_t fencing,
                              time_point now) const {
  fleet_orders orders;
  planning_round round(engines);
  const auto is_short_of_slots = [&](const model_requirement& need,
                                     bool on_demand_only) {
    return on_demand_only
               ? round.OnDemandSlots(need.model) < need.on_demand_slots
               : round.Slots(need.model) < need.slots;
  };
  const auto load_spare = [&](const model_requirement& need,
                              bool on_demand_only) {
    for (fleet_engine& engine : round.engines()) {
      const bool fits = (!on_demand_only || !engine.reclaimable) &&
                        MayLoad(engine, need.model);
      if (is_short_of_slots(need, on_demand_only) && fits &&
          engine.model != need.model &&
          round.LoadsInProgress() < terms_.concurrent_loads &&
          IsSpare(round, needs, engine)) {
        engine.model = need.model;
        engine.loading = true;
        orders.loads.push_back({engine.name, need.model, fencing});
      }
    }
  };
  // Prefers the lowest price per slot. A domain that already has half of the
  // model's slots ranks last, since a whole domain can be reclaimed at once.
  const auto best_offer = [&](const model_requirement& need,
                              bool on_demand_only) {
    std::optional<std::size_t> best;
    const auto rank = [&](const fleet_offer& offer) {
      const std::uint32_t domain_slots =
          round.SlotsIn(need.model, offer.domain);
      return std::tuple(2 * domain_slots >= need.slots && domain_slots > 0,
                        offer.price_per_hour / offer.slots, domain_slots);
    };
    for (std::size_t i = 0; i < offers.size(); ++i) {
      const bool fits = !on_demand_only || !offers[i].reclaimable;
      if (fits && offers[i].slots > 0 && !IsInBackoff(offers[i], now) &&
          (!best || rank(offers[i]) < rank(offers[*best]))) {
        best = i;
      }
    }
    return best;
  };
  const auto start_missing = [&](const model_requirement& need,
                                 bool on_demand_only) {
    while (is_short_of_slots(need, on_demand_only)) {
      const auto chosen = best_offer(need, on_demand_only);
      if (!chosen) {
        return;
      }
      orders.starts.push_back({*chosen, need.model});
      round.Add(offers[*chosen], need.model);
    }
  };
  for (const bool on_demand_only : {true, false}) {
    for (const model_requirement& need : needs) {
      load_spare(need, on_demand_only);
      start_missing(need, on_demand_only);
    }
  }
  return orders;
}

}  // namespace anvilloom
