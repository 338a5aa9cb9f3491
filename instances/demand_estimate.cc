#include "instances/demand_estimate.h"

#include <algorithm>

namespace anvilloom {

void demand_estimate::Take(const load& current, time_point now) {
  const std::uint64_t read_tokens = current.read_tokens;
  if (!initialized_) {
    initialized_ = true;
    last_tokens_ = read_tokens;
    sampled_at_ = now;
    // Stored as a sample, so that the first calls do not lower the estimate.
    busy_engines_ = current.engines * kInitialUtilization;
    samples_.push_back({now, 0, busy_engines_});
    return;
  }
  if (now - sampled_at_ < kSampleInterval) {
    return;
  }
  const std::uint64_t added_tokens =
      read_tokens > last_tokens_ ? read_tokens - last_tokens_ : 0;
  const auto elapsed_us = static_cast<double>((now - sampled_at_).count());
  last_tokens_ = read_tokens;
  sampled_at_ = now;
  samples_.push_back({now, static_cast<double>(added_tokens) / elapsed_us,
                      current.full_engines});
  while (samples_.front().at + kSampleWindow < now) {
    samples_.pop_front();
  }
  busy_engines_ = 0;
  for (const sample& each : samples_) {
    busy_engines_ = std::max(
        {busy_engines_, each.busy, each.rate * current.prefill_us_per_token});
  }
}

}  // namespace anvilloom
