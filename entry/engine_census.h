// Defines engine_census, the engines of a service that serve now and the load
// that they have.
#ifndef ENTRY_ENGINE_CENSUS_H_
#define ENTRY_ENGINE_CENSUS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/time.h"
#include "instances/demand_estimate.h"
#include "instances/engine_plan.h"
#include "links/pooled_upstream.h"

namespace anvilloom {

class engine_census {
 public:
  // `read_tokens` is the sum of the tokens that engines had to read so far.
  void Take(const upstream_pool& pool,
            std::uint64_t read_tokens,
            double read_us_per_token,
            time_point now);

  // Whether the engines that were present at the start have announced
  // themselves: a plan made before would see too few of them.
  bool settled() const { return settled_; }
  double busy_engines() const { return demand_.busy_engines(); }
  std::uint32_t engines() const { return engines_; }
  std::uint32_t reclaimable() const { return reclaimable_; }
  // The engines of a failure domain.
  domain_engines In(std::string_view domain) const;

 private:
  // Engines announce themselves within a second or two of a start.
  static constexpr duration kSettleTime = std::chrono::milliseconds(1500);

  void Count(const upstream_pool& pool);

  demand_estimate demand_;
  std::map<std::string, domain_engines, std::less<>> domains_;
  std::uint32_t engines_ = 0;
  std::uint32_t reclaimable_ = 0;
  bool settled_ = false;
  deadline settled_at_ = deadline::Never();
};

}  // namespace anvilloom

#endif  // ENTRY_ENGINE_CENSUS_H_
