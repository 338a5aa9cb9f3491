// Defines PlanMove, which decides what happens to a stream whose upstream has
// received a notice.
#ifndef LINKS_RECLAIM_PLAN_H_
#define LINKS_RECLAIM_PLAN_H_

#include <cstdint>
#include <optional>
#include <span>

#include "common/time.h"
#include "links/upstream.h"

namespace anvilloom {

// A stream on a leaving upstream.
struct moving_stream {
  std::uint32_t prompt_tokens = 0;
  // Tokens generated so far, and the most that are still to come.
  std::uint32_t generated = 0;
  std::uint32_t remaining = 0;
  duration token_interval{};
  // Time until the running export of another stream from the same upstream
  // ends; zero if none runs.
  duration until_free{};
  // False when the KV cache can't be exported, for example because it failed.
  bool may_export = true;
};

// An upstream that could take the stream.
struct move_target {
  upstream_index where{};
  // False if it is known to run another model version. The version of an
  // upstream that has not answered yet is asked for before the export.
  bool same_version = false;
  // Tokens at the start of the prompt that it has probably cached.
  std::uint32_t cached_tokens = 0;
  std::uint32_t outstanding_requests = 0;
};

// What moving costs.
struct move_costs {
  // The export and import calls.
  duration export_overhead = std::chrono::milliseconds(20);
  // 128 KB of KV cache for one token at 10 Gbit/s, until measured. Other entry
  // instances may export at the same time and share the upstream's network.
  duration export_per_token = std::chrono::microseconds(105);
  // Left unused before the reclaim: estimates and clocks are not exact.
  duration margin = std::chrono::milliseconds(200);
};

enum class reclaim_action {
  kRunToEnd,
  kExport,
  // Wait for the running export to end, and plan again. Exports go one after
  // the other: side by side each takes longer, and fewer caches leave in time.
  kAwaitExport,
  kReprefill,
};

struct reclaim_choice {
  reclaim_action action = reclaim_action::kRunToEnd;
  // Not set for kRunToEnd. For kAwaitExport, where the stream would go now.
  std::optional<upstream_index> target;
  // Tokens that the target computes although they were computed before.
  std::uint32_t recomputed_tokens = 0;
};

// The choice with the fewest recomputed tokens that fits before `reclaim_at`;
// among equal ones the target with the fewest outstanding requests. Nothing
// when the stream can't end in time and there is no target.
std::optional<reclaim_choice> PlanMove(const moving_stream& stream,
                                       std::span<const move_target> targets,
                                       deadline reclaim_at,
                                       time_point now,
                                       const move_costs& costs = {});

}  // namespace anvilloom

#endif  // LINKS_RECLAIM_PLAN_H_
