// Defines prefix_homes, the upstreams that a service's prompt prefixes are
// placed at by rendezvous hashing, computed once for each topology.
#ifndef LINKS_PREFIX_HOMES_H_
#define LINKS_PREFIX_HOMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "links/route_candidate.h"

namespace anvilloom {

// Prefixes share 4,096 buckets, and rendezvous hashing ranks the candidates of
// each bucket, so that a lookup need not score every candidate: at 257
// candidates that took over half of a routing decision. Every entry instance
// computes the same homes, and a candidate that comes or goes moves only the
// buckets that it is or was home to.
class prefix_homes {
 public:
  // Homes of a prefix, in descending order of score.
  static constexpr std::size_t kHomes = 3;

  explicit prefix_homes(std::span<const route_candidate> candidates);

  // Positions in the candidates, fewer than kHomes if there are fewer.
  std::span<const std::uint16_t> Find(std::uint64_t prefix_hash) const {
    const std::size_t bucket =
        (prefix_hash * 0x9e3779b97f4a7c15U) >> (64U - kBucketBits);
    return std::span(buckets_[bucket]).first(homes_);
  }

 private:
  static constexpr unsigned kBucketBits = 12;

  std::size_t homes_;
  std::vector<std::array<std::uint16_t, kHomes>> buckets_;
};

}  // namespace anvilloom

#endif  // LINKS_PREFIX_HOMES_H_
