// Defines PlanMove, which decides whether and how a stream is moved after its
// upstream has received a reclaim notice.
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
  // Tokens generated so far, and the maximum number still to be generated.
  std::uint32_t generated = 0;
  std::uint32_t remaining = 0;
  duration token_interval{};
  // Time until the running export of another stream from the same upstream
  // ends; zero if none runs.
  duration until_free{};
  // False if the KV cache can't be exported, for example after a failed export.
  bool may_export = true;
};

// An upstream that could take the stream.
struct move_target {
  upstream_index where{};
  // False if it is known to run another model version. If an upstream has not
  // answered yet, its version is requested before the export.
  bool same_version = false;
  // Leading prompt tokens that it probably caches.
  std::uint32_t cached_tokens = 0;
  std::uint32_t outstanding_requests = 0;
};

// Time that a move takes.
struct move_costs {
  // Fixed time of the export and import calls.
  duration export_overhead = std::chrono::milliseconds(20);
  // 128 KB of KV cache per token at 10 Gbit/s, used until an export has been
  // measured. Other entry instances may export at the same time and share the
  // upstream's network bandwidth.
  duration export_per_token = std::chrono::microseconds(105);
  // Safety margin before the reclaim for errors of estimates and clocks.
  duration margin = std::chrono::milliseconds(200);
};

enum class reclaim_action {
  kRunToEnd,
  kExport,
  // Wait for the running export to end, then plan again. Exports run
  // sequentially: concurrent ones each take longer, and fewer finish in time.
  kAwaitExport,
  kReprefill,
};

struct reclaim_choice {
  reclaim_action action = reclaim_action::kRunToEnd;
  // Not set for kRunToEnd. For kAwaitExport, the best target at present;
  // the next plan may choose another one.
  std::optional<upstream_index> target;
  // Tokens that the target has to compute again.
  std::uint32_t recomputed_tokens = 0;
};

// Returns the choice with the fewest recomputed tokens that completes before
// `reclaim_at`. Ties go to the target with the fewest outstanding requests.
// Returns nothing if the stream can't end in time and there is no target.
std::optional<reclaim_choice> PlanMove(const moving_stream& stream,
                                       std::span<const move_target> targets,
                                       deadline reclaim_at,
                                       time_point now,
                                       const move_costs& costs = {});

}  // namespace anvilloom

#endif  // LINKS_RECLAIM_PLAN_H_
