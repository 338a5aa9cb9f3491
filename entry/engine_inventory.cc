#include "entry/engine_inventory.h"

namespace anvilloom {

void engine_inventory::Update(const upstream_pool& pool,
                              std::uint64_t read_tokens,
                              double prefill_us_per_token,
                              time_point now) {
  const std::uint32_t before = engines_;
  CountEngines(pool);
  if (!settled_) {
    if (engines_ != before || engines_ == 0) {
      settled_at_ = deadline::After(now, kSettleTime);
    }
    settled_ = engines_ != 0 && settled_at_.Expired(now);
  }
  if (settled_) {
    demand_.Take({read_tokens, prefill_us_per_token, engines_, full_engines_},
                 now);
  }
}

domain_engine_counts engine_inventory::EnginesIn(
    std::string_view domain) const {
  const auto found = domains_.find(domain);
  return found == domains_.end() ? domain_engine_counts{} : found->second;
}

void engine_inventory::CountEngines(const upstream_pool& pool) {
  domains_.clear();
  engines_ = 0;
  reclaimable_ = 0;
  full_engines_ = 0;
  for (const auto& each : pool.members) {
    if (each->leaving()) {
      continue;
    }
    domain_engine_counts& domain = domains_[each->announced().domain];
    ++engines_;
    if (each->announced().slots > 0) {
      full_engines_ +=
          static_cast<double>(each->total_running()) / each->announced().slots;
    }
    if (each->announced().reclaimable) {
      ++domain.reclaimable;
      ++reclaimable_;
    } else {
      ++domain.on_demand;
    }
  }
}

}  // namespace anvilloom
