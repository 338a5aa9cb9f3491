// Defines chosen_upstream, an upstream copied out of the topology for one
// attempt, and the choices that are made among upstreams.
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
#include "links/link_place.h"
#include "links/reclaim_plan.h"

namespace anvilloom {

// Stays valid when the topology changes. Holds a place at the upstream from the
// choice on, so that requests that are chosen for at the same time see each
// other.
struct chosen_upstream {
  std::string address;
  std::shared_ptr<link> path;
  link_place place;
};

using shared_links = std::vector<std::shared_ptr<link>>;

// What a stream needs of an upstream once `generated` tokens of its answer are
// there. The service and excluded upstreams are left to the choice.
route_request MakeRouteRequest(const stream_order& order,
                               std::uint32_t generated);

// Chooses by the routing policy, among upstreams that are not in `excluded`.
std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const stream_session& session,
                                              const shared_links& excluded);

// The same for a call to a plain service.
std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const service& target,
                                              deadline answer_by,
                                              const shared_links& excluded);

// Whether any upstream is declared for the stream's service.
bool HasUpstreams(process_state& process, const stream_session& session);

// Repeats that a request earns, in thousandths of one.
std::uint32_t RetryPermille(process_state& process);

// A planned move, and where it goes.
struct planned_move {
  reclaim_choice choice;
  std::optional<chosen_upstream> target;
};

// Decides what happens to a stream that runs on `source`, which is leaving.
std::optional<planned_move> ChooseMove(process_state& process,
                                       const stream_session& session,
                                       const link& source,
                                       const shared_links& excluded,
                                       bool may_export);

// Hashes under which the policy knows a prompt: the whole and its leading
// part.
std::uint64_t PromptHash(const chat_request& request);
std::uint64_t PrefixHash(const chat_request& request);
// Tokens of the prompt that an upstream has probably cached.
std::uint32_t CachedTokens(const process_state& process,
                           const stream_session& session,
                           const link& path);

}  // namespace anvilloom

#endif  // ENTRY_CHOSEN_UPSTREAM_H_
