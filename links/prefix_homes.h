// Defines prefix_homes, the upstreams to which rendezvous hashing assigns the
// prompt prefixes of a service. Computed once per topology.
#ifndef LINKS_PREFIX_HOMES_H_
#define LINKS_PREFIX_HOMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "links/route_candidate.h"

namespace anvilloom {

// Prefixes are mapped to 4,096 buckets, and rendezvous hashing ranks the
// candidates of each bucket. This avoids scoring every candidate in each
// lookup, which took over half of a routing decision at 257 candidates. Every
// entry instance computes the same homes, and adding or removing a candidate
// affects only the buckets for which it is a home. Immutable, thus thread-safe.
class prefix_homes {
 public:
  // Homes of a prefix, in descending order of score.
  static constexpr std::size_t kHomes = 3;

  explicit prefix_homes(std::span<const route_candidate> candidates);

  // Returns positions in the candidates: kHomes, or as many as there are.
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
