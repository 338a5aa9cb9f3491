#include "instances/demand_estimate.h"

#include <algorithm>

namespace anvilloom {

void demand_estimate::Take(std::uint64_t read_tokens,
                           std::uint32_t engines,
                           double read_us_per_token,
                           time_point now) {
  if (!begun_) {
    begun_ = true;
    tokens_ = read_tokens;
    sampled_at_ = now;
    // Counts as a sample, so that the first calls do not lower the estimate.
    busy_ = engines * kPresumedBusyShare;
    samples_.push_back({now, busy_});
    return;
  }
  if (now - sampled_at_ < kSample) {
    return;
  }
  const std::uint64_t grown = read_tokens > tokens_ ? read_tokens - tokens_ : 0;
  const auto passed = static_cast<double>((now - sampled_at_).count());
  tokens_ = read_tokens;
  sampled_at_ = now;
  samples_.push_back(
      {now, static_cast<double>(grown) * read_us_per_token / passed});
  while (samples_.front().at + kMemory < now) {
    samples_.pop_front();
  }
  busy_ = std::ranges::max_element(samples_, {}, &sample::busy)->busy;
}

}  // namespace anvilloom
