#include "links/reclaim_plan.h"

#include <algorithm>
#include <tuple>

namespace anvilloom {

namespace {

// Whether work that takes `needed` ends before the reclaim, with the margin.
bool FitsBefore(duration needed,
                deadline reclaim_at,
                time_point now,
                const move_costs& costs) {
  if (reclaim_at == deadline::Never()) {
    return true;
  }
  return needed + costs.margin <= reclaim_at.Remaining(now);
}

duration ExportTime(const moving_stream& stream, const move_costs& costs) {
  const std::uint32_t tokens = stream.prompt_tokens + stream.generated;
  return costs.export_overhead + costs.export_per_token * tokens;
}

// Returns the tokens that the source generates during the cache transfer. The
// target has to compute them again.
std::uint32_t TokensGeneratedDuring(duration time,
                                    const moving_stream& stream) {
  if (stream.token_interval <= duration::zero()) {
    return 0;
  }
  return static_cast<std::uint32_t>(time / stream.token_interval);
}

reclaim_choice ChoosePrefill(const moving_stream& stream,
                             const move_target& target) {
  const std::uint32_t cached =
      std::min(target.cached_tokens, stream.prompt_tokens);
  return {reclaim_action::kReprefill, target.where,
          stream.prompt_tokens + stream.generated - cached};
}

}  // namespace

std::optional<reclaim_choice> PlanMove(const moving_stream& stream,
                                       std::span<const move_target> targets,
                                       deadline reclaim_at,
                                       time_point now,
                                       const move_costs& costs) {
  if (FitsBefore(stream.token_interval * stream.remaining, reclaim_at, now,
                 costs)) {
    return reclaim_choice{};
  }
  const duration export_time = ExportTime(stream, costs);
  const bool export_fits =
      stream.may_export &&
      FitsBefore(stream.until_free + export_time, reclaim_at, now, costs);
  const reclaim_action export_action = stream.until_free > duration::zero()
                                           ? reclaim_action::kAwaitExport
                                           : reclaim_action::kExport;
  std::optional<reclaim_choice> best;
  std::uint32_t best_outstanding = 0;
  const auto consider = [&](const reclaim_choice& choice,
                            std::uint32_t outstanding) {
    if (!best || std::tie(choice.recomputed_tokens, outstanding) <
                     std::tie(best->recomputed_tokens, best_outstanding)) {
      best = choice;
      best_outstanding = outstanding;
    }
  };
  for (const move_target& target : targets) {
    consider(ChoosePrefill(stream, target), target.outstanding_requests);
    if (export_fits && target.same_version) {
      consider({export_action, target.where,
                TokensGeneratedDuring(export_time, stream)},
               target.outstanding_requests);
    }
  }
  return best;
}

}  // namespace anvilloom
