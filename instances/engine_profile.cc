#include "instances/engine_profile.h"

#include <algorithm>
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

duration ToDuration(double us) {
  constexpr double kMaxUs = 1e15;
  return duration(static_cast<std::int64_t>(std::clamp(us, 0.0, kMaxUs)));
}

duration engine_profile::PrefillTime(const prompt_work& work) const {
  // Each computed token attends to all tokens before it.
  const double before = work.prompt_tokens - work.tokens / 2.0;
  return ToDuration(work.tokens *
                    (prefill_us_per_token + before * prefill_us_per_pair +
                     work.running * running_us_per_token));
}

engine_profile MergeProfiles(std::span<const engine_profile> profiles) {
  double total = 0;
  for (const engine_profile& each : profiles) {
    total += each.observations;
  }
  if (total == 0) {
    return {};
  }
  const auto average = [&](double engine_profile::*value) {
    double sum = 0;
    for (const engine_profile& each : profiles) {
      sum += each.observations * each.*value;
    }
    return sum / total;
  };
  engine_profile merged;
  merged.fixed_us = average(&engine_profile::fixed_us);
  merged.prefill_us_per_token = average(&engine_profile::prefill_us_per_token);
  merged.prefill_us_per_pair = average(&engine_profile::prefill_us_per_pair);
  merged.running_us_per_token = average(&engine_profile::running_us_per_token);
  merged.mean_us_per_token = average(&engine_profile::mean_us_per_token);
  merged.queued_us_per_token = average(&engine_profile::queued_us_per_token);
  merged.observations = static_cast<std::uint32_t>(total);
  return merged;
}

bool IsPlausible(const engine_profile& profile) {
  return InRange(profile.fixed_us, 0, kMaxFixedUs) &&
         InRange(profile.prefill_us_per_token, kMinPrefillUsPerToken,
                 kMaxPrefillUsPerToken) &&
         InRange(profile.prefill_us_per_pair, 0, kMaxPrefillUsPerPair) &&
         InRange(profile.running_us_per_token, 0, kMaxPrefillUsPerToken) &&
         InRange(profile.queued_us_per_token, 0, 10 * kMaxPrefillUsPerToken) &&
         InRange(profile.mean_us_per_token, kMinPrefillUsPerToken,
                 10 * kMaxPrefillUsPerToken);
}

}  // namespace anvilloom
