#include "entry/pace_log.h"

#include <cmath>
#include <string>

#include "common/log.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

// A limit that ends within a shorter time is of no use to operators.
constexpr duration kReviewInterval = std::chrono::seconds(1);

std::string ToPermille(double ratio) {
  constexpr double kPermille = 1000;
  return std::to_string(std::lround(ratio * kPermille));
}

void LogChange(const pace_change& change) {
  if (change.end == pace_end::kNone) {
    Log(log_level::kInfo, log_event::kUpstreamPaced,
        {{"upstream", change.upstream},
         {"service", change.service},
         {"share_permille", ToPermille(change.state.share)},
         {"cold", change.cold ? "true" : "false"},
         {"left_out", std::to_string(change.left_out)}});
    return;
  }
  Log(log_level::kInfo, log_event::kUpstreamPaceEnded,
      {{"upstream", change.upstream},
       {"service", change.service},
       {"cause", std::string(Name(change.end))},
       {"took_us", std::to_string(change.took.count())},
       {"answers", std::to_string(change.state.answers)},
       {"ratio_permille", ToPermille(change.state.ratio)},
       {"left_out", std::to_string(change.left_out)}});
}

}  // namespace

awaitable<void> pace_log::Run() {
  for (;;) {
    co_await Pause(kReviewInterval);
    Review();
  }
}

void pace_log::Review() {
  const auto view = state_.View();
  const time_point now = state_.clock.Now();
  for (const pace_change& change : watch_.FindChanges(view->pools, now)) {
    LogChange(change);
  }
  for (const stated_slowdown& each : watch_.FindSlowdowns(view->pools, now)) {
    Log(log_level::kInfo, log_event::kUpstreamsSlowed,
        {{"service", each.service},
         {"upstreams", std::to_string(each.upstreams)},
         {"slowest", each.slowest},
         {"slowdown_permille", std::to_string(each.permille)}});
  }
}

}  // namespace anvilloom
