// Guards the fleet plan: replacements that the cloud refuses fall back to other
// domains, classes and terms, loads keep to the weight store's rate, and an
// order of an earlier holder does not last.

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

// An engine that ignores fencing and takes every order.
void Obey(std::vector<fleet_engine>& engines, const load_order& order) {
  for (fleet_engine& engine : engines) {
    if (engine.name == order.engine) {
      engine.model = order.model;
    }
  }
}

}  // namespace

SCENARIO("The fleet plan replaces what is reclaimed", "[fleet_plan]") {
  fleet_plan plan{fleet_terms{}};
  const std::vector<fleet_need> needs = {{"stylist", 8, 0}};

  GIVEN("a domain whose engine is leaving") {
    std::vector<fleet_engine> engines = {Engine("e1", "zone-b", "stylist"),
                                         Engine("e2", "zone-a", "stylist")};
    engines[1].leaving = true;

    THEN("one replacement is ordered, at the least price") {
      const auto orders = plan.Plan(needs, kOffers, engines, kFencing, kStart);
      REQUIRE(orders.starts.size() == 1);
      CHECK(orders.starts[0].offer == 0);
    }
    WHEN("the cloud refuses one offer after the other") {
      THEN("another domain, another class and on demand are tried in turn") {
        for (std::size_t expected = 0; expected < kOffers.size(); ++expected) {
          const auto orders =
              plan.Plan(needs, kOffers, engines, kFencing, kStart);
          REQUIRE(orders.starts.size() == 1);
          CHECK(orders.starts[0].offer == expected);
          plan.Refused(kOffers[orders.starts[0].offer], kStart);
        }
        CHECK(plan.Plan(needs, kOffers, engines, kFencing, kStart)
                  .starts.empty());
      }
      THEN("a refused offer is tried again after the pause") {
        plan.Refused(kOffers[0], kStart);
        const time_point later = kStart + fleet_terms{}.refusal_pause;
        const auto orders = plan.Plan(needs, kOffers, engines, kFencing, later);
        REQUIRE(orders.starts.size() == 1);
        CHECK(orders.starts[0].offer == 0);
      }
    }
    WHEN("the replacement has been started and does not report yet") {
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
    THEN("the on-demand slots are not put on reclaimable instances") {
      const std::vector<fleet_need> safe = {{"stylist", 8, 4}};
      const auto orders = plan.Plan(safe, kOffers, {}, kFencing, kStart);
      CHECK(std::ranges::count_if(orders.starts, [](const start_order& order) {
              return !kOffers[order.offer].reclaimable;
            }) == 1);
    }
  }
}

SCENARIO("The fleet plan loads models on spare engines", "[fleet_plan]") {
  const std::vector<fleet_need> needs = {{"stylist", 12, 0}};

  GIVEN("more spare engines than the weight store can feed at once") {
    fleet_terms terms;
    terms.concurrent_loads = 2;
    const fleet_plan plan(terms);
    std::vector<fleet_engine> engines = {Engine("e1", "zone-a", ""),
                                         Engine("e2", "zone-a", "old-model"),
                                         Engine("e3", "zone-b", "")};

    THEN("only as many loads are ordered, with the fencing number") {
      const auto orders = plan.Plan(needs, {}, engines, kFencing, kStart);
      REQUIRE(orders.loads.size() == 2);
      CHECK(orders.loads[0].fencing == kFencing);
    }
    WHEN("loads are under way already") {
      engines[0].loading = true;
      engines[1].loading = true;
      THEN("none is ordered") {
        CHECK(plan.Plan(needs, {}, engines, kFencing, kStart).loads.empty());
      }
    }
  }

  GIVEN("two engines that each have the other one's only model") {
    const fleet_plan plan{fleet_terms{}};
    const std::vector<fleet_need> both = {{"stylist", 4, 0}, {"booker", 4, 0}};
    std::vector<fleet_engine> engines = {Engine("e1", "zone-a", "booker"),
                                         Engine("e2", "zone-a", "stylist")};
    engines[0].only_model = "stylist";
    engines[1].only_model = "booker";

    THEN("each is told to load its own") {
      const auto orders = plan.Plan(both, {}, engines, kFencing, kStart);
      REQUIRE(orders.loads.size() == 2);
      CHECK(orders.loads[0].engine == "e1");
      CHECK(orders.loads[0].model == "stylist");
      CHECK(orders.loads[1].engine == "e2");
      CHECK(orders.loads[1].model == "booker");
    }
  }

  GIVEN("engines that ignore fencing, all as planned") {
    const fleet_plan plan{fleet_terms{}};
    std::vector<fleet_engine> engines = {Engine("e1", "zone-a", "stylist"),
                                         Engine("e2", "zone-a", "stylist"),
                                         Engine("e3", "zone-b", "stylist")};
    REQUIRE(plan.Plan(needs, {}, engines, kFencing, kStart).loads.empty());

    WHEN("an order of an earlier holder arrives late") {
      Obey(engines, {"e2", "old-model", kFencing - 1});
      const auto orders = plan.Plan(needs, {}, engines, kFencing, kStart);

      THEN("the next round puts it right, and repeating that changes nothing") {
        REQUIRE(orders.loads.size() == 1);
        Obey(engines, orders.loads[0]);
        Obey(engines, orders.loads[0]);
        CHECK(plan.Plan(needs, {}, engines, kFencing, kStart).loads.empty());
      }
    }
  }
}

}  // namespace anvilloom
