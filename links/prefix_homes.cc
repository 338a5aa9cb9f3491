#include "links/prefix_homes.h"

#include <algorithm>

namespace anvilloom {

namespace {

// The candidates with the highest scores, in descending order.
struct ranking {
  std::array<std::uint64_t, prefix_homes::kHomes> scores{};
  std::array<std::uint16_t, prefix_homes::kHomes> positions{};

  void Insert(std::uint64_t score, std::uint16_t position) {
    if (score <= scores.back()) {
      return;
    }
    std::size_t at = scores.size() - 1;
    while (at > 0 && scores[at - 1] < score) {
      scores[at] = scores[at - 1];
      positions[at] = positions[at - 1];
      --at;
    }
    scores[at] = score;
    positions[at] = position;
  }
};

}  // namespace

prefix_homes::prefix_homes(std::span<const route_candidate> candidates)
    : homes_(std::min(candidates.size(), kHomes)),
      buckets_(std::size_t{1} << kBucketBits) {
  for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
    ranking ranked;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      ranked.Insert(RendezvousScore(bucket, candidates[i].name_hash),
                    static_cast<std::uint16_t>(i));
    }
    buckets_[bucket] = ranked.positions;
  }
}

}  // namespace anvilloom
