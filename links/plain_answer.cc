#include "links/plain_answer.h"

#include <algorithm>
#include <limits>

#include "instances/engine_profile.h"

namespace anvilloom {

void ObservePlainSpeed(service_stats& stats,
                       pooled_upstream& target,
                       duration time,
                       time_point now) {
  if (!target.reports_load()) {
    return;
  }
  const auto typical = static_cast<double>(stats.answers.typical().count());
  const double ratio =
      typical > 0 ? static_cast<double>(time.count()) / typical : 1;
  if (target.pacing().active()) {
    // Answers after a start say little about the speed in normal operation.
    target.RecordPacedAnswer(ratio, now);
    return;
  }
  const double slowdown = target.slowdown(now);
  stats.answers.Observe(time, slowdown);
  target.RecordPace(ratio / slowdown, now);
}

duration LikelyRetryTime(const upstream_pool& pool,
                         std::span<const std::uint64_t> tried,
                         time_point now) {
  // Answers vary: one that needs most of the typical time may still be in time.
  constexpr double kQuickShare = 0.5;
  double least = std::numeric_limits<double>::max();
  for (const auto& each : pool.members) {
    if (each->reports_load() && !each->leaving() &&
        std::ranges::find(tried, each->hash()) == tried.end()) {
      least = std::min(least, each->pace(now) * each->slowdown(now));
    }
  }
  if (pool.model || least == std::numeric_limits<double>::max()) {
    return duration::zero();
  }
  return ToDuration(static_cast<double>(pool.stats->answers.typical().count()) *
                    least * kQuickShare);
}

}  // namespace anvilloom
