#include "instances/drain.h"

#include <algorithm>
#include <cstdint>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Assumed until a stream has shown its own pace, in microseconds.
constexpr duration kAssumedInterval = std::chrono::milliseconds(50);
// Part of the time that is kept for the hand-over and for a slower pace.
constexpr duration kMargin = std::chrono::milliseconds(700);
constexpr std::int64_t kSlowerNumerator = 5;
constexpr std::int64_t kSlowerDenominator = 4;

std::uint64_t Score(std::string_view stream, std::string_view member) {
  return CombineHash(Hash64(stream), Hash64(member));
}

}  // namespace

bool EndsBefore(const stream_progress& progress,
                deadline until,
                time_point now) {
  const duration interval =
      progress.tokens == 0
          ? kAssumedInterval
          : duration((now - progress.accepted_at).count() / progress.tokens);
  const std::int64_t left = progress.max_tokens > progress.tokens
                                ? progress.max_tokens - progress.tokens
                                : 0;
  const duration expected(interval.count() * left * kSlowerNumerator /
                          kSlowerDenominator);
  return expected + kMargin < until.Remaining(now);
}

std::vector<member_profile> HandoverTargets(const membership_snapshot& members,
                                            std::string_view stream,
                                            std::string_view domain,
                                            std::string_view except) {
  std::vector<member_profile> targets;
  for (const live_member& each : members.live) {
    if (!each.suspect && !each.profile.leaving && each.profile.name != except) {
      targets.push_back(each.profile);
    }
  }
  std::ranges::sort(
      targets, [&](const member_profile& left, const member_profile& right) {
        const bool left_near = left.domain == domain;
        const bool right_near = right.domain == domain;
        if (left_near != right_near) {
          return right_near;
        }
        return Score(stream, left.name) > Score(stream, right.name);
      });
  return targets;
}

}  // namespace anvilloom
