#include "tools/experiment_setup.h"

#include <array>
#include <cstddef>

namespace anvilloom {

namespace {

constexpr std::array<std::string_view, 3> kDomains = {"zone-a", "zone-b",
                                                      "zone-c"};
// Price of a failure domain relative to the first one.
constexpr std::array<double, 3> kDomainPriceFactor = {1.0, 1.15, 1.4};
// Price of a reclaimable engine relative to an on-demand one.
constexpr double kReclaimablePriceFactor = 0.4;

simulated_engine_spec MakeEngine(std::size_t position, bool booking) {
  const std::size_t domain = position % kDomains.size();
  // Two machine classes, and about half of each failure domain reclaimable.
  const bool large = (position / kDomains.size()) % 2 == 0;
  const bool reclaimable = !booking && (position / kDomains.size()) % 3 != 1;
  simulated_engine_spec spec;
  spec.name = (booking ? "booking-" : "pool-") + std::to_string(position);
  spec.domain = kDomains[domain];
  spec.machine_class = large ? "large" : "small";
  spec.price_per_hour = static_cast<std::int64_t>(
      (large ? 4'000'000 : 2'600'000) * kDomainPriceFactor[domain] *
      (reclaimable ? kReclaimablePriceFactor : 1.0));
  spec.reclaimable = reclaimable;
  spec.interval_us = large ? 16'000 : 21'000;
  spec.interval_step_us = large ? 1'100 : 1'700;
  spec.prefill_us_per_token = large ? 60 : 90;
  spec.cache_tokens = large ? 60'000 : 36'000;
  spec.booking = booking;
  return spec;
}

service MakeService(std::string_view name,
                    priority priority_class,
                    duration first_token,
                    duration answer_limit) {
  service new_service;
  new_service.name = name;
  new_service.terms.priority_class = priority_class;
  new_service.terms.first_token_target = first_token;
  new_service.terms.answer_limit = answer_limit;
  return new_service;
}

void DeclareServices(experiment_setup& setup) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  setup.declared.services = {
      MakeService("chat", priority::kInteractive, milliseconds(650),
                  seconds(60)),
      MakeService("long", priority::kBatch, seconds(5), seconds(300)),
      MakeService("booking", priority::kNormal, milliseconds(650), seconds(30)),
  };
}

void DeclareEngines(experiment_setup& setup,
                    std::size_t pooled,
                    std::size_t booking) {
  for (std::size_t i = 0; i < pooled; ++i) {
    setup.engines.push_back(MakeEngine(i, false));
  }
  for (std::size_t i = 0; i < booking; ++i) {
    setup.engines.push_back(MakeEngine(i, true));
  }
  for (const simulated_engine_spec& spec : setup.engines) {
    upstream_declaration declared;
    declared.name = spec.name;
    declared.domain = spec.domain;
    declared.machine_class = spec.machine_class;
    declared.price_per_hour = spec.price_per_hour;
    declared.reclaimable = spec.reclaimable;
    declared.slots = spec.slots;
    declared.services = spec.booking ? std::vector<std::string>{"booking"}
                                     : std::vector<std::string>{"chat", "long"};
    setup.declared.upstreams.push_back(declared);
  }
}

// Five workspaces, two of them large.
void DeclareWorkspaces(experiment_setup& setup,
                       double requests_per_second,
                       double long_share) {
  constexpr std::array<std::uint32_t, 5> kWeights = {4, 3, 1, 1, 1};
  constexpr std::array<double, 5> kShares = {0.4, 0.3, 0.12, 0.1, 0.08};
  for (std::size_t i = 0; i < kWeights.size(); ++i) {
    workspace declared;
    declared.name = "workspace-" + std::to_string(i);
    declared.credential_digest = declared.name;
    declared.weight = kWeights[i];
    setup.declared.workspaces.push_back(declared);
    workspace_demand demand;
    demand.requests_per_second = requests_per_second * kShares[i];
    demand.long_share = long_share;
    demand.booking_share = 0.15;
    setup.demand.push_back(demand);
  }
}

}  // namespace

std::string_view Name(experiment_user user) {
  return user == experiment_user::kManalee ? "manalee" : "puentes";
}

std::string_view Name(experiment_scenario scenario) {
  switch (scenario) {
    case experiment_scenario::kDay:
      return "day";
    case experiment_scenario::kOverload:
      return "overload";
    case experiment_scenario::kReclaimWave:
      return "reclaim";
    case experiment_scenario::kLag:
      return "lag";
  }
  return "unknown";
}

experiment_setup MakeSetup(experiment_user user, experiment_scenario scenario) {
  experiment_setup setup;
  setup.declared.revision = 1;
  DeclareServices(setup);
  if (user == experiment_user::kManalee) {
    DeclareEngines(setup, 9, 3);
    DeclareWorkspaces(setup, 7, 0.1);
  } else {
    DeclareEngines(setup, 18, 3);
    DeclareWorkspaces(setup, 9, 0.2);
  }
  switch (scenario) {
    case experiment_scenario::kDay:
      break;
    case experiment_scenario::kOverload:
      // The second workspace sends eight times its usual load.
      setup.demand[1].requests_per_second *= 8;
      break;
    case experiment_scenario::kReclaimWave:
      setup.reclaim_wave_at = std::chrono::seconds(100);
      break;
    case experiment_scenario::kLag:
      setup.report_lag = std::chrono::seconds(4);
      setup.report_interval = std::chrono::seconds(2);
      setup.cache_event_lag = std::chrono::seconds(15);
      setup.cache_event_loss_permille = 300;
      break;
  }
  return setup;
}

}  // namespace anvilloom
