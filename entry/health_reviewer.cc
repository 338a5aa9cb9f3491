#include "entry/health_reviewer.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

// Bounds how long an upstream that went wrong still gets new work.
constexpr duration kReviewInterval = std::chrono::milliseconds(50);
// A refusal that says "leaving" holds this long; then a few requests find out
// whether the upstream is back.
constexpr duration kRefusalHold = std::chrono::seconds(5);

std::string_view Name(health_cause cause) {
  switch (cause) {
    case health_cause::kNone:
      return "none";
    case health_cause::kFailures:
      return "failures";
    case health_cause::kBadAnswers:
      return "bad_answers";
    case health_cause::kVersionChange:
      return "version_change";
    case health_cause::kLatencyShift:
      return "latency_shift";
  }
  return "none";
}

// Whether some service of the upstream has no other one that takes new work.
bool IsLast(const topology& world, upstream_index index) {
  const auto others_take = [&](service_index offered) {
    return std::ranges::any_of(
        world.UpstreamsOf(offered), [&](upstream_index other) {
          const link_condition condition = world.link_at(other).condition();
          return other != index && condition == link_condition::kHealthy;
        });
  };
  return !std::ranges::all_of(world.at(index).services, others_take);
}

void LogChange(std::string_view upstream,
               link_condition condition,
               health_cause cause) {
  switch (condition) {
    case link_condition::kQuarantined:
      Log(log_level::kWarning, log_event::kUpstreamQuarantined,
          {{"upstream", std::string(upstream)},
           {"cause", std::string(Name(cause))}});
      break;
    case link_condition::kProbation:
      Log(log_level::kInfo, log_event::kUpstreamOnProbation,
          {{"upstream", std::string(upstream)}});
      break;
    default:
      Log(log_level::kInfo, log_event::kUpstreamReadmitted,
          {{"upstream", std::string(upstream)}});
      break;
  }
}

}  // namespace

awaitable<void> health_reviewer::Run() {
  for (;;) {
    ReviewAll();
    co_await Pause(kReviewInterval);
  }
}

void health_reviewer::ReviewAll() {
  const rcu_read_guard guard;
  const topology& world = process_.world.Read(guard);
  for (std::uint32_t i = 0; i < world.upstreams().size(); ++i) {
    Review(world, upstream_index{i});
  }
}

void health_reviewer::Review(const topology& world, upstream_index index) {
  link& path = world.link_at(index);
  const time_point now = process_.clock.Now();
  auto found = reviewed_.find(path.upstream_name());
  if (found == reviewed_.end()) {
    found = reviewed_.emplace(path.upstream_name(), reviewed{}).first;
  }
  reviewed& held = found->second;
  EndRefusal(held, path, now);
  const bool leaving = path.condition() == link_condition::kLeaving;
  if (leaving != held.was_leaving) {
    held.was_leaving = leaving;
    if (leaving) {
      Log(log_level::kWarning, log_event::kUpstreamLeaving,
          {{"upstream", std::string(path.upstream_name())}});
    } else {
      held.health.BeginProbation(path.health());
      path.DistrustCache(now);
    }
  }
  const link_condition before = held.health.condition();
  const link_condition next =
      held.health.Review(path.health(), now, IsLast(world, index));
  path.SetCondition(next);
  if (next != before) {
    if (next == link_condition::kQuarantined) {
      path.DistrustCache(now);
    }
    LogChange(path.upstream_name(), next, held.health.cause());
  }
}

void health_reviewer::EndRefusal(reviewed& held, link& path, time_point now) {
  if (!path.LeavingBy(leaving_source::kRefusal)) {
    held.refused_at = time_point{};
  } else if (held.refused_at == time_point{}) {
    held.refused_at = now;
  } else if (now >= held.refused_at + kRefusalHold) {
    path.SetLeaving(leaving_source::kRefusal, false);
    held.refused_at = time_point{};
  }
}

}  // namespace anvilloom
