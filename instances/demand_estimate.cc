#include "instances/demand_estimate.h"

#include <algorithm>

namespace anvilloom {

void demand_estimate::Take(std::uint64_t read_tokens,
                           std::uint32_t engines,
                           double prefill_us_per_token,
                           time_point now) {
  if (!initialized_) {
    initialized_ = true;
    last_tokens_ = read_tokens;
    sampled_at_ = now;
    // Stored as a sample, so that the first calls do not lower the estimate.
    busy_engines_ = engines * kInitialUtilization;
    samples_.push_back({now, busy_engines_});
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
  samples_.push_back({now, static_cast<double>(added_tokens) *
                               prefill_us_per_token / elapsed_us});
  while (samples_.front().at + kSampleWindow < now) {
    samples_.pop_front();
  }
  busy_engines_ = std::ranges::max_element(samples_, {}, &sample::busy)->busy;
}

}  // namespace anvilloom
