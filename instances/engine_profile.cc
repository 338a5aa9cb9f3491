#include "instances/engine_profile.h"

#include <cmath>

namespace anvilloom {

namespace {

// Ten million tokens a second, and one token in 100 ms.
constexpr double kMinPrefillUsPerToken = 0.1;
constexpr double kMaxPrefillUsPerToken = 100'000;
constexpr double kMaxPrefillUsPerPair = 1'000;
constexpr double kMaxFixedUs = 60e6;

bool InRange(double value, double lowest, double highest) {
  return std::isfinite(value) && value >= lowest && value <= highest;
}

}  // namespace

duration engine_profile::PrefillTime(const prompt_work& work) const {
  // Each computed token attends to all tokens before it.
  const double before = work.prompt_tokens - work.tokens / 2.0;
  return duration(static_cast<std::int64_t>(
      work.tokens * (prefill_us_per_token + before * prefill_us_per_pair +
                     work.running * running_us_per_token)));
}

engine_profile MergeProfiles(std::span<const engine_profile> profiles) {
  double total = 0;
  engine_profile sum{0, 0, 0, 0, 0, 0};
  for (const engine_profile& each : profiles) {
    const double weight = each.observations;
    total += weight;
    sum.fixed_us += weight * each.fixed_us;
    sum.prefill_us_per_token += weight * each.prefill_us_per_token;
    sum.prefill_us_per_pair += weight * each.prefill_us_per_pair;
    sum.running_us_per_token += weight * each.running_us_per_token;
    sum.mean_us_per_token += weight * each.mean_us_per_token;
  }
  if (total == 0) {
    return {};
  }
  return {sum.fixed_us / total,
          sum.prefill_us_per_token / total,
          sum.prefill_us_per_pair / total,
          sum.running_us_per_token / total,
          sum.mean_us_per_token / total,
          static_cast<std::uint32_t>(total)};
}

bool IsPlausible(const engine_profile& profile) {
  return InRange(profile.fixed_us, 0, kMaxFixedUs) &&
         InRange(profile.prefill_us_per_token, kMinPrefillUsPerToken,
                 kMaxPrefillUsPerToken) &&
         InRange(profile.prefill_us_per_pair, 0, kMaxPrefillUsPerPair) &&
         InRange(profile.running_us_per_token, 0, kMaxPrefillUsPerToken) &&
         InRange(profile.mean_us_per_token, kMinPrefillUsPerToken,
                 10 * kMaxPrefillUsPerToken);
}

}  // namespace anvilloom
