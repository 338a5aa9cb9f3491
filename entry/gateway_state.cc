#include "entry/gateway_state.h"

namespace anvilloom {

namespace {

constexpr duration kFirstBucketBound = std::chrono::milliseconds(1);

}  // namespace

duration latency_histogram::UpperBound(std::size_t index) {
  return kFirstBucketBound * (std::int64_t{1} << index);
}

void latency_histogram::Add(duration latency) {
  std::size_t index = 0;
  while (index + 1 < kBuckets && latency > UpperBound(index)) {
    ++index;
  }
  buckets_[index].fetch_add(1, std::memory_order_relaxed);
}

}  // namespace anvilloom
