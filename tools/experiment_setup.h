// Defines experiment_setup, the fleet, demand and faults of one experiment, and
// MakeSetup, which builds it for a user and a scenario.
#ifndef TOOLS_EXPERIMENT_SETUP_H_
#define TOOLS_EXPERIMENT_SETUP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contracts/configuration.h"
#include "tools/simulated_engine.h"

namespace anvilloom {

enum class experiment_user { kManalee, kPuentes };
enum class experiment_scenario { kDay, kOverload, kReclaimWave, kLag };

std::string_view Name(experiment_user user);
std::string_view Name(experiment_scenario scenario);

// The load that a workspace generates.
struct workspace_demand {
  double requests_per_second = 0;
  // Shares of the requests; the rest is chat.
  double long_share = 0;
  double booking_share = 0;
  // Number of distinct prompt prefixes; low numbers are drawn more often.
  std::uint32_t prefixes = 40;
};

struct experiment_setup {
  std::vector<simulated_engine_spec> engines;
  // Services: 0 chat, 1 long answers, 2 booking or permits.
  configuration declared;
  // In the order of declared.workspaces.
  std::vector<workspace_demand> demand;
  std::uint32_t entry_instances = 6;
  duration length = std::chrono::seconds(240);
  // Results are recorded only after this time, so that averages and caches are
  // warm.
  duration warm_up = std::chrono::seconds(30);
  duration report_interval = std::chrono::seconds(1);
  duration report_lag = std::chrono::milliseconds(500);
  duration cache_event_lag = std::chrono::seconds(2);
  // Cache events that are lost, per thousand.
  std::uint32_t cache_event_loss_permille = 20;
  // At this time every reclaimable engine of the first failure domain gets a
  // reclaim notice of the given length; no replacements start. Zero disables
  // these notices.
  duration reclaim_wave_at{0};
  duration reclaim_notice = std::chrono::seconds(5);
};

experiment_setup MakeSetup(experiment_user user, experiment_scenario scenario);

}  // namespace anvilloom

#endif  // TOOLS_EXPERIMENT_SETUP_H_
