// Defines prefix_locations, what this entry instance knows of which upstream
// caches which prompt prefix: from its own sends and from cache events.
#ifndef LINKS_PREFIX_LOCATIONS_H_
#define LINKS_PREFIX_LOCATIONS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "common/time.h"

namespace anvilloom {

// One upstream that is thought to cache a prefix.
struct prefix_location {
  // Low bits of the upstream's name hash; see MatchesUpstream().
  std::uint32_t upstream_tag = 0;
  time_point seen_at;
};

// Whether a location names the upstream with this hash.
bool MatchesUpstream(const prefix_location& location, std::uint64_t name_hash);

// A table of fixed size, shared by all threads without locks. Entries are
// hints: a bucket that is full forgets its oldest entry, a tag may collide, and
// concurrent writers may lose one update.
class prefix_locations {
 public:
  static constexpr std::size_t kWays = 8;
  using found_locations = std::array<prefix_location, kWays>;

  // `buckets` is a power of two; each takes 64 bytes.
  explicit prefix_locations(std::size_t buckets = kDefaultBuckets);

  // Writes only if the entry is missing or older than kRefreshAfter, so that a
  // popular prefix does not make threads write a shared cache line.
  void Record(std::uint64_t prefix_hash,
              std::uint64_t name_hash,
              time_point now);
  // Source: an eviction event.
  void Forget(std::uint64_t prefix_hash, std::uint64_t name_hash);

  // Writes the locations of a prefix into `found`; returns the filled part.
  std::span<const prefix_location> Find(std::uint64_t prefix_hash,
                                        found_locations& found) const;

  // Prefixes of the upstream with this hash that were seen since `since`.
  std::size_t Count(std::uint64_t name_hash, time_point since) const;

 private:
  // 64 KiB of hints cover 8,192 prefixes.
  static constexpr std::size_t kDefaultBuckets = 1024;
  static constexpr duration kRefreshAfter = std::chrono::seconds(8);

  struct alignas(64) bucket {
    std::array<std::atomic<std::uint64_t>, kWays> entries{};
  };

  bucket& BucketOf(std::uint64_t prefix_hash) const;

  std::size_t mask_;
  std::unique_ptr<bucket[]> buckets_;
};

}  // namespace anvilloom

#endif  // LINKS_PREFIX_LOCATIONS_H_
