// Guards against fleet plans that request a refused offer again instead of
// another domain, machine class or price model, that start more model loads
// than the weight store can serve, or that keep the effect of a late order from
// an earlier lease holder.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "instances/fleet_plan.h"

namespace anvilloom {

namespace {

constexpr time_point kStart{std::chrono::seconds(1)};
constexpr std::uint64_t kFencing = 7;

const std::vector<fleet_offer> kOffers = {
    {"zone-a", "small", true, 1'000'000, 4},
    {"zone-b", "small", true, 1'100'000, 4},
    {"zone-b", "large", true, 3'000'000, 8},
    {"zone-b", "small", false, 4'000'000, 4},
};

fleet_engine Engine(std::string name, std::string domain, std::string model) {
  fleet_engine engine;
  engine.name = std::move(name);
  engine.domain = std::move(domain);
  engine.reclaimable = true;
  engine.slots = 4;
  engine.model = std::move(model);
  return engine;
}

// Applies an order like an engine that ignores fencing.
void ApplyOrder(std::vector<fleet_engine>& engines, const load_order& order) {
  for (fleet_engine& engine : engines) {
    if (engine.name == order.engine) {
      engine.model = order.model;
    }
  }
}

}  // namespace

SCENARIO("The fleet plan replaces reclaimed engines", "[fleet_plan]") {
  fleet_plan plan{fleet_plan_options{}};
  const std::vector<model_requirement> needs = {{"stylist", 8, 0}};

  GIVEN("a domain whose engine is leaving") {
    std::vector<fleet_engine> engines = {Engine("e1", "zone-b", "stylist"),
                                         Engine("e2", "zone-a", "stylist")};
    engines[1].leaving = true;

    THEN("one replacement is ordered, at the lowest price") {
      const auto orders = plan.Plan(needs, kOffers, engines, kFencing, kStart);
      REQUIRE(orders.starts.size() == 1);
      CHECK(orders.starts[0].offer == 0);
    }
    WHEN("the cloud refuses the offers one after another") {
      THEN("other domains, machine classes and on-demand are tried in turn") {
        for (std::size_t expected = 0; expected < kOffers.size(); ++expected) {
          const auto orders =
              plan.Plan(needs, kOffers, engines, kFencing, kStart);
          REQUIRE(orders.starts.size() == 1);
          CHECK(orders.starts[0].offer == expected);
          plan.RecordRefusal(kOffers[orders.starts[0].offer], kStart);
        }
        CHECK(plan.Plan(needs, kOffers, engines, kFencing, kStart)
                  .starts.empty());
      }
      THEN("a refused offer is tried again after the backoff time") {
        plan.RecordRefusal(kOffers[0], kStart);
        const time_point later = kStart + fleet_plan_options{}.refusal_backoff;
        const auto orders = plan.Plan(needs, kOffers, engines, kFencing, later);
        REQUIRE(orders.starts.size() == 1);
        CHECK(orders.starts[0].offer == 0);
      }
    }
    WHEN("the replacement has started but not reported yet") {
      engines.push_back(Engine("e3", "zone-a", "stylist"));
      engines.back().starting = true;
      THEN("no second one is ordered") {
        CHECK(plan.Plan(needs, kOffers, engines, kFencing, kStart)
                  .starts.empty());
      }
    }
  }

  GIVEN("no engines") {
    THEN("the slots are spread over the domains") {
      const auto orders = plan.Plan(needs, kOffers, {}, kFencing, kStart);
      REQUIRE(orders.starts.size() == 2);
      CHECK(kOffers[orders.starts[0].offer].domain !=
            kOffers[orders.starts[1].offer].domain);
    }
    THEN("on-demand slots are not placed on reclaimable instances") {
      const std::vector<model_requirement> needs_on_demand = {
          {"stylist", 8, 4}};
      const auto orders =
          plan.Plan(needs_on_demand, kOffers, {}, kFencing, kStart);
      CHECK(std::ranges::count_if(orders.starts, [](const start_order& order) {
              return !kOffers[order.offer].reclaimable;
            }) == 1);
    }
  }
}

SCENARIO("The fleet plan loads models on spare engines", "[fleet_plan]") {
  const std::vector<model_requirement> needs = {{"stylist", 12, 0}};

  GIVEN("more spare engines than the weight store can serve at once") {
    fleet_plan_options options;
    options.concurrent_loads = 2;
    const fleet_plan plan(options);
    std::vector<fleet_engine> engines = {Engine("e1", "zone-a", ""),
                                         Engine("e2", "zone-a", "old-model"),
                                         Engine("e3", "zone-b", "")};

    THEN(
        "only the allowed number of loads is ordered, with the fencing "
        "number") {
      const auto orders = plan.Plan(needs, {}, engines, kFencing, kStart);
      REQUIRE(orders.loads.size() == 2);
      CHECK(orders.loads[0].fencing == kFencing);
    }
    WHEN("loads are already in progress") {
      engines[0].loading = true;
      engines[1].loading = true;
      THEN("none is ordered") {
        CHECK(plan.Plan(needs, {}, engines, kFencing, kStart).loads.empty());
      }
    }
  }

  GIVEN("two engines that each hold the model allowed on the other") {
    const fleet_plan plan{fleet_plan_options{}};
    const std::vector<model_requirement> both = {{"stylist", 4, 0},
                                                 {"booker", 4, 0}};
    std::vector<fleet_engine> engines = {Engine("e1", "zone-a", "booker"),
                                         Engine("e2", "zone-a", "stylist")};
    engines[0].allowed_model = "stylist";
    engines[1].allowed_model = "booker";

    THEN("each is ordered to load its allowed model") {
      const auto orders = plan.Plan(both, {}, engines, kFencing, kStart);
      REQUIRE(orders.loads.size() == 2);
      CHECK(orders.loads[0].engine == "e1");
      CHECK(orders.loads[0].model == "stylist");
      CHECK(orders.loads[1].engine == "e2");
      CHECK(orders.loads[1].model == "booker");
    }
  }

  GIVEN("engines that ignore fencing, all as planned") {
    const fleet_plan plan{fleet_plan_options{}};
    std::vector<fleet_engine> engines = {Engine("e1", "zone-a", "stylist"),
                                         Engine("e2", "zone-a", "stylist"),
                                         Engine("e3", "zone-b", "stylist")};
    REQUIRE(plan.Plan(needs, {}, engines, kFencing, kStart).loads.empty());

    WHEN("an order of an earlier holder arrives late") {
      ApplyOrder(engines, {"e2", "old-model", kFencing - 1});
      const auto orders = plan.Plan(needs, {}, engines, kFencing, kStart);

      THEN(
          "the next round corrects it, and a repeat of the order has no "
          "effect") {
        REQUIRE(orders.loads.size() == 1);
        ApplyOrder(engines, orders.loads[0]);
        ApplyOrder(engines, orders.loads[0]);
        CHECK(plan.Plan(needs, {}, engines, kFencing, kStart).loads.empty());
      }
    }
  }
}

}  // namespace anvilloom
