// Defines engine_inventory, which counts the engines that currently serve a
// service and estimates their load.
#ifndef ENTRY_ENGINE_INVENTORY_H_
#define ENTRY_ENGINE_INVENTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/time.h"
#include "instances/demand_estimate.h"
#include "instances/engine_plan.h"
#include "links/pooled_upstream.h"

namespace anvilloom {

// Not thread-safe; used on the control thread only.
class engine_inventory {
 public:
  // `read_tokens` is the total number of prompt tokens processed so far.
  void Update(const upstream_pool& pool,
              std::uint64_t read_tokens,
              double prefill_us_per_token,
              time_point now);

  // Whether all engines that run at startup have announced themselves. A plan
  // made earlier would count too few of them.
  bool settled() const { return settled_; }
  double busy_engines() const { return demand_.busy_engines(); }
  std::uint32_t engines() const { return engines_; }
  std::uint32_t reclaimable() const { return reclaimable_; }
  // The number of engines in a failure domain.
  domain_engine_counts EnginesIn(std::string_view domain) const;

 private:
  // Engines announce themselves within one or two seconds of a start. Counted
  // from the last change in their number.
  static constexpr duration kSettleTime = std::chrono::milliseconds(1500);

  void CountEngines(const upstream_pool& pool);

  demand_estimate demand_;
  std::map<std::string, domain_engine_counts, std::less<>> domains_;
  std::uint32_t engines_ = 0;
  std::uint32_t reclaimable_ = 0;
  double full_engines_ = 0;
  bool settled_ = false;
  deadline settled_at_ = deadline::Never();
};

}  // namespace anvilloom

#endif  // ENTRY_ENGINE_INVENTORY_H_
