#include "instances/drain.h"

#include <algorithm>
#include <cstdint>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Assumed for a stream that has not produced a token yet.
constexpr duration kDefaultTokenInterval = std::chrono::milliseconds(50);
// Time reserved for the handover.
constexpr duration kHandoverMargin = std::chrono::milliseconds(700);
// The expected time is multiplied by 5/4, since the token rate may be lower in
// the remaining part of the stream.
constexpr std::int64_t kSlowdownNumerator = 5;
constexpr std::int64_t kSlowdownDenominator = 4;

std::uint64_t RendezvousScore(std::string_view stream,
                              std::string_view member) {
  return CombineHash(Hash64(stream), Hash64(member));
}

}  // namespace

bool FinishesBefore(const stream_progress& progress,
                    deadline until,
                    time_point now) {
  const duration token_interval =
      progress.tokens == 0
          ? kDefaultTokenInterval
          : duration((now - progress.accepted_at).count() / progress.tokens);
  const std::int64_t left = progress.max_tokens > progress.tokens
                                ? progress.max_tokens - progress.tokens
                                : 0;
  const duration expected(token_interval.count() * left * kSlowdownNumerator /
                          kSlowdownDenominator);
  return expected + kHandoverMargin < until.Remaining(now);
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
        const bool left_in_domain = left.domain == domain;
        const bool right_in_domain = right.domain == domain;
        if (left_in_domain != right_in_domain) {
          return right_in_domain;
        }
        return RendezvousScore(stream, left.name) >
               RendezvousScore(stream, right.name);
      });
  return targets;
}

}  // namespace anvilloom
