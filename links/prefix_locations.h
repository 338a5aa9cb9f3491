// Defines prefix_locations, a table of which upstreams probably cache which
// prompt prefixes, filled from sent requests and cache events.
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

// An upstream that probably caches a prefix.
struct prefix_location {
  // Low bits of the upstream's name hash; see MatchesUpstream().
  std::uint32_t upstream_tag = 0;
  time_point seen_at;
};

// Whether a location refers to the upstream with this hash.
bool MatchesUpstream(const prefix_location& location, std::uint64_t name_hash);

// A lock-free table of fixed size. Thread-safe. Entries are hints: a full
// bucket evicts its oldest entry, tags may collide, and concurrent writers may
// lose an update.
class prefix_locations {
 public:
  static constexpr std::size_t kWays = 8;
  using found_locations = std::array<prefix_location, kWays>;

  // `buckets` is a power of two; each takes 64 bytes.
  explicit prefix_locations(std::size_t buckets = kDefaultBuckets);

  // Writes only if the entry is missing or at least kRefreshAfter old, so that
  // threads don't contend for the cache line of a popular prefix.
  void Record(std::uint64_t prefix_hash,
              std::uint64_t name_hash,
              time_point now);
  // Removes an entry after an eviction event.
  void Remove(std::uint64_t prefix_hash, std::uint64_t name_hash);

  // Writes the locations of a prefix into `found`; returns the filled part.
  std::span<const prefix_location> Find(std::uint64_t prefix_hash,
                                        found_locations& found) const;

  // Returns the number of prefixes of the upstream seen at or after `since`.
  // Scans the whole table.
  std::size_t Count(std::uint64_t name_hash, time_point since) const;

 private:
  // 64 KiB for 8,192 entries.
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
