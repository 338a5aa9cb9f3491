#include "entry/chosen_upstream.h"

#include <algorithm>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Bytes of the prompt that decide its placement by prefix, and their tokens.
constexpr std::size_t kPrefixBytes = 512;
constexpr std::uint32_t kPrefixTokens = 128;
// Keeps the hash of a short prompt apart from that of its prefix.
constexpr std::uint64_t kWholeSeed = 1;

// The positions in `world` of the upstreams of `links`.
std::vector<upstream_index> PositionsOf(const topology& world,
                                        const shared_links& links) {
  std::vector<upstream_index> positions;
  for (const std::shared_ptr<link>& path : links) {
    if (const auto found = world.FindUpstream(path->upstream_name())) {
      positions.push_back(*found);
    }
  }
  return positions;
}

route_request MakeRouteRequest(const stream_session& session,
                               service_index wanted,
                               std::span<const upstream_index> excluded) {
  const stream_order& order = session.order();
  route_request request;
  request.wanted = wanted;
  request.prefix_hash = PrefixHash(session);
  request.prompt_tokens =
      EstimatePromptTokens(order.request) + session.tokens();
  request.answer_tokens = order.request.max_tokens - session.tokens();
  request.rank = order.target.terms.rank;
  request.first_token_by = order.first_token_by;
  request.answer_by = order.answer_by;
  request.excluded = excluded;
  return request;
}

chosen_upstream CopyOut(const topology& world, upstream_index index) {
  return {world.at(index).address, world.shared_link_at(index)};
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
  const duration seen = source.token_interval_average();
  moving.token_interval =
      seen > duration::zero()
          ? seen
          : session.order().target.terms.token_interval_target;
  moving.until_free = source.until_export_ends(now);
  // A stream without a token has no cache worth moving.
  moving.may_export = may_export && session.tokens() > 0;
  return moving;
}

}  // namespace

std::uint64_t PromptHash(const stream_session& session) {
  return Hash64(session.order().request.messages, kWholeSeed);
}

std::uint64_t PrefixHash(const stream_session& session) {
  return Hash64(std::string_view(session.order().request.messages)
                    .substr(0, kPrefixBytes));
}

std::uint32_t CachedTokens(const process_state& process,
                           const stream_session& session,
                           const link& path) {
  const std::uint32_t prompt = EstimatePromptTokens(session.order().request);
  if (process.policy.IsCached(PromptHash(session), path)) {
    return prompt;
  }
  return process.policy.IsCached(PrefixHash(session), path)
             ? std::min(prompt, kPrefixTokens)
             : 0;
}

std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const stream_session& session,
                                              const shared_links& excluded) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(session.order().target.name);
  if (!wanted) {
    return std::nullopt;
  }
  const std::vector<upstream_index> positions = PositionsOf(world, excluded);
  const auto chosen = process.policy.Choose(
      world, MakeRouteRequest(session, *wanted, positions),
      process.clock.Now());
  if (!chosen) {
    return std::nullopt;
  }
  return CopyOut(world, *chosen);
}

std::optional<chosen_upstream> ChooseUpstream(process_state& process,
                                              const service& target,
                                              deadline answer_by,
                                              const shared_links& excluded) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(target.name);
  if (!wanted) {
    return std::nullopt;
  }
  const std::vector<upstream_index> positions = PositionsOf(world, excluded);
  route_request request;
  request.wanted = *wanted;
  request.rank = target.terms.rank;
  request.answer_by = answer_by;
  request.excluded = positions;
  const auto chosen =
      process.policy.Choose(world, request, process.clock.Now());
  if (!chosen) {
    return std::nullopt;
  }
  return CopyOut(world, *chosen);
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
  const std::vector<upstream_index> positions = PositionsOf(world, excluded);
  const route_request request = MakeRouteRequest(session, *wanted, positions);
  const std::uint64_t version = Hash64(session.model_version());
  const time_point now = process.clock.Now();
  std::vector<move_target> targets;
  for (const upstream_index where : world.UpstreamsOf(*wanted)) {
    link& path = world.link_at(where);
    if (&path != &source && MayTake(world, request, where)) {
      const bool may_match = path.version() == 0 || path.version() == version;
      targets.push_back({where, may_match, CachedTokens(process, session, path),
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
    planned.target = CopyOut(world, *choice->target);
  }
  return planned;
}

}  // namespace anvilloom
