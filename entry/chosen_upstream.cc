#include "entry/chosen_upstream.h"

#include <algorithm>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Leading bytes of the prompt that determine its placement by prefix, and their
// estimated number of tokens.
constexpr std::size_t kPrefixBytes = 512;
constexpr std::uint32_t kPrefixTokens = 128;
// Makes the hash of a short prompt differ from that of its prefix.
constexpr std::uint64_t kFullPromptSeed = 1;

// Indices in `world` of the upstreams of `links`.
std::vector<upstream_index> IndicesOf(const topology& world,
                                      const shared_links& links) {
  std::vector<upstream_index> indices;
  for (const std::shared_ptr<link>& path : links) {
    if (const auto found = world.FindUpstream(path->upstream_name())) {
      indices.push_back(*found);
    }
  }
  return indices;
}

// Returns nothing if the last slot there was taken since the selection.
std::optional<chosen_upstream> ReserveSlot(const topology& world,
                                           upstream_index index,
                                           priority priority_class) {
  const std::shared_ptr<link>& path = world.shared_link_at(index);
  auto place = link_reservation::TryTake(path, priority_class);
  if (!place) {
    return std::nullopt;
  }
  return chosen_upstream{world.at(index).address, path, std::move(*place)};
}

// Selects by the routing policy. The service and the excluded upstreams of
// `request` are filled in here.
std::optional<chosen_upstream> Choose(process_state& process,
                                      std::string_view service_name,
                                      route_request request,
                                      const shared_links& excluded) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(service_name);
  if (!wanted) {
    return std::nullopt;
  }
  std::vector<upstream_index> indices = IndicesOf(world, excluded);
  request.wanted = *wanted;
  for (;;) {
    request.excluded = indices;
    const auto index =
        process.policy.Choose(world, request, process.clock.Now());
    if (!index) {
      return std::nullopt;
    }
    if (auto chosen = ReserveSlot(world, *index, request.priority_class)) {
      return chosen;
    }
    indices.push_back(*index);
  }
}

moving_stream MakeMovingStream(const stream_session& session,
                               const link& source,
                               time_point now,
                               bool may_export) {
  const chat_request& request = session.order().request;
  moving_stream moving;
  moving.prompt_tokens = EstimatePromptTokens(request);
  moving.generated = session.tokens();
  moving.remaining = request.max_tokens - session.tokens();
  const duration measured_interval = source.token_interval_average();
  moving.token_interval =
      measured_interval > duration::zero()
          ? measured_interval
          : session.order().target.terms.token_interval_target;
  moving.until_free = source.until_export_ends(now);
  // A stream without tokens has no cache worth moving.
  moving.may_export = may_export && session.tokens() > 0;
  return moving;
}

}  // namespace

std::uint64_t PromptHash(const chat_request& request) {
  return Hash64(request.messages, kFullPromptSeed);
}

std::uint64_t PrefixHash(const chat_request& request) {
  return Hash64(std::string_view(request.messages).substr(0, kPrefixBytes));
}

route_request MakeRouteRequest(const stream_spec& order,
                               std::uint32_t generated) {
  route_request request;
  request.prefix_hash = PrefixHash(order.request);
  request.prompt_tokens = EstimatePromptTokens(order.request) + generated;
  request.answer_tokens = order.request.max_tokens - generated;
  request.priority_class = order.target.terms.priority_class;
  request.first_token_by = order.first_token_by;
  request.answer_by = order.answer_by;
  return request;
}

std::uint32_t EstimateCachedTokens(const process_state& process,
                                   const stream_session& session,
                                   const link& path) {
  const chat_request& request = session.order().request;
  const std::uint32_t prompt = EstimatePromptTokens(request);
  if (process.policy.IsCached(PromptHash(request), path)) {
    return prompt;
  }
  return process.policy.IsCached(PrefixHash(request), path)
             ? std::min(prompt, kPrefixTokens)
             : 0;
}

std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const stream_session& session,
                                              const shared_links& excluded) {
  return Choose(process, session.order().target.name,
                MakeRouteRequest(session.order(), session.tokens()), excluded);
}

std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const service& target,
                                              deadline answer_by,
                                              const shared_links& excluded) {
  route_request request;
  request.priority_class = target.terms.priority_class;
  request.answer_by = answer_by;
  return Choose(process, target.name, request, excluded);
}

bool HasUpstreams(process_state& process, const stream_session& session) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(session.order().target.name);
  return wanted && !world.UpstreamsOf(*wanted).empty();
}

std::uint32_t RetryPermille(process_state& process) {
  const rcu_read_guard guard;
  return process.world.Read(guard).limits().retry_permille;
}

std::optional<planned_move> ChooseMove(process_state& process,
                                       const stream_session& session,
                                       const link& source,
                                       const shared_links& excluded,
                                       bool may_export) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(session.order().target.name);
  if (!wanted) {
    return std::nullopt;
  }
  const std::vector<upstream_index> indices = IndicesOf(world, excluded);
  route_request request = MakeRouteRequest(session.order(), session.tokens());
  request.wanted = *wanted;
  request.excluded = indices;
  const std::uint64_t version = Hash64(session.model_version());
  const time_point now = process.clock.Now();
  std::vector<move_target> targets;
  for (const upstream_index candidate : world.UpstreamsOf(*wanted)) {
    link& path = world.link_at(candidate);
    if (&path != &source && MayTake(world, request, candidate)) {
      const bool version_may_match =
          path.version() == 0 || path.version() == version;
      targets.push_back({candidate, version_may_match,
                         EstimateCachedTokens(process, session, path),
                         path.outstanding_requests()});
    }
  }
  const auto choice =
      PlanMove(MakeMovingStream(session, source, now, may_export), targets,
               source.reclaim_at(), now, source.export_costs());
  if (!choice) {
    return std::nullopt;
  }
  planned_move planned{*choice, std::nullopt};
  if (choice->target) {
    planned.target =
        ReserveSlot(world, *choice->target, request.priority_class);
    if (!planned.target) {
      return std::nullopt;
    }
  }
  return planned;
}

}  // namespace anvilloom
