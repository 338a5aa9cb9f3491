#include "entry/health_reviewer.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

// Bounds how long a failing upstream still receives new work.
constexpr duration kReviewInterval = std::chrono::milliseconds(50);
// How long a refusal that says "leaving" excludes the upstream. After that, a
// few requests probe whether it accepts work again.
constexpr duration kRefusalPeriod = std::chrono::seconds(5);

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

// Whether a service of the upstream has no other healthy upstream.
bool IsLastHealthy(const topology& world, upstream_index index) {
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
  auto found = reviews_.find(path.upstream_name());
  if (found == reviews_.end()) {
    found = reviews_.emplace(path.upstream_name(), link_review{}).first;
  }
  link_review& review = found->second;
  ExpireRefusal(review, path, now);
  const bool leaving = path.condition() == link_condition::kLeaving;
  if (leaving != review.was_leaving) {
    review.was_leaving = leaving;
    if (leaving) {
      Log(log_level::kWarning, log_event::kUpstreamLeaving,
          {{"upstream", std::string(path.upstream_name())}});
    } else {
      review.health.BeginProbation(path.health());
      path.DistrustCache(now);
    }
  }
  const link_condition before = review.health.condition();
  const link_condition next =
      review.health.Review(path.health(), now, IsLastHealthy(world, index));
  path.SetCondition(next);
  if (next != before) {
    if (next == link_condition::kQuarantined) {
      path.DistrustCache(now);
    }
    LogChange(path.upstream_name(), next, review.health.cause());
  }
}

void health_reviewer::ExpireRefusal(link_review& review,
                                    link& path,
                                    time_point now) {
  if (!path.LeavingBy(leaving_source::kRefusal)) {
    review.refused_at = time_point{};
  } else if (review.refused_at == time_point{}) {
    review.refused_at = now;
  } else if (now >= review.refused_at + kRefusalPeriod) {
    path.SetLeaving(leaving_source::kRefusal, false);
    review.refused_at = time_point{};
  }
}

}  // namespace anvilloom
