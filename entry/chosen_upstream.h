// Defines chosen_upstream, an upstream copied out of the topology for one
// attempt, and the functions that select upstreams.
#ifndef ENTRY_CHOSEN_UPSTREAM_H_
#define ENTRY_CHOSEN_UPSTREAM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "entry/process_state.h"
#include "entry/stream_session.h"
#include "links/link_reservation.h"
#include "links/reclaim_plan.h"

namespace anvilloom {

// Stays valid when the topology changes. Reserves a slot at the upstream from
// the selection on, so that concurrent selections take each other into account.
struct chosen_upstream {
  std::string address;
  std::shared_ptr<link> path;
  link_reservation place;
};

using shared_links = std::vector<std::shared_ptr<link>>;

// Describes the routing needs of a stream after `generated` tokens of its
// answer. The service and the excluded upstreams are filled in by the
// selection.
route_request MakeRouteRequest(const stream_spec& order,
                               std::uint32_t generated);

// Selects an upstream that is not in `excluded` by the routing policy.
std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const stream_session& session,
                                              const shared_links& excluded);

// Selects an upstream for a call to a plain service.
std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const service& target,
                                              deadline answer_by,
                                              const shared_links& excluded);

// Whether any upstream is declared for the stream's service.
bool HasUpstreams(process_state& process, const stream_session& session);

// Retry budget that one request adds, in thousandths of a retry.
std::uint32_t RetryPermille(process_state& process);

// A planned move and its target, if the action has one.
struct planned_move {
  reclaim_choice choice;
  std::optional<chosen_upstream> target;
};

// Decides how to move a stream off `source`, which is leaving. Returns nothing
// if the service is gone, no action is possible or the target is full.
std::optional<planned_move> ChooseMove(process_state& process,
                                       const stream_session& session,
                                       const link& source,
                                       const shared_links& excluded,
                                       bool may_export);

// Hashes that identify a prompt to the routing policy: of the whole prompt and
// of its leading part.
std::uint64_t PromptHash(const chat_request& request);
std::uint64_t PrefixHash(const chat_request& request);
// Estimates the prompt tokens that an upstream has cached.
std::uint32_t EstimateCachedTokens(const process_state& process,
                                   const stream_session& session,
                                   const link& path);

}  // namespace anvilloom

#endif  // ENTRY_CHOSEN_UPSTREAM_H_
