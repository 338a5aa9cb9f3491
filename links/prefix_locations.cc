#include "links/prefix_locations.h"

namespace anvilloom {

namespace {

// An entry packs, from the top: 24 bits of the prefix hash, 20 bits of the
// upstream's name hash, and 20 bits of the time in seconds plus one, so that
// zero is an empty entry.
constexpr unsigned kPrefixShift = 40;
constexpr unsigned kUpstreamShift = 20;
constexpr std::uint64_t kFieldMask = (std::uint64_t{1} << 20U) - 1;

std::uint64_t PackKey(std::uint64_t prefix_hash, std::uint64_t name_hash) {
  return (prefix_hash >> kPrefixShift << kPrefixShift) |
         ((name_hash & kFieldMask) << kUpstreamShift);
}

std::uint64_t Key(std::uint64_t entry) {
  return entry & ~kFieldMask;
}

// Returns whole seconds, which wrap around after twelve days. An entry of that
// age looks new, which costs one wrong hint.
std::uint64_t PackTime(time_point now) {
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
  return (static_cast<std::uint64_t>(seconds) + 1) & kFieldMask;
}

std::uint64_t TimeField(std::uint64_t entry) {
  return entry & kFieldMask;
}

prefix_location Unpack(std::uint64_t entry) {
  return {static_cast<std::uint32_t>((entry >> kUpstreamShift) & kFieldMask),
          time_point(std::chrono::seconds(
                         static_cast<std::int64_t>(TimeField(entry))) -
                     std::chrono::seconds(1))};
}

}  // namespace

bool MatchesUpstream(const prefix_location& location, std::uint64_t name_hash) {
  return location.upstream_tag == (name_hash & kFieldMask);
}

prefix_locations::prefix_locations(std::size_t buckets)
    : mask_(buckets - 1), buckets_(std::make_unique<bucket[]>(buckets)) {}

void prefix_locations::Record(std::uint64_t prefix_hash,
                              std::uint64_t name_hash,
                              time_point now) {
  bucket& target = BucketOf(prefix_hash);
  const std::uint64_t key = PackKey(prefix_hash, name_hash);
  const std::uint64_t time = PackTime(now);
  const auto refresh_after = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(kRefreshAfter).count());
  std::atomic<std::uint64_t>* oldest = &target.entries[0];
  std::uint64_t oldest_time = kFieldMask;
  for (std::atomic<std::uint64_t>& slot : target.entries) {
    const std::uint64_t entry = slot.load(std::memory_order_relaxed);
    if (entry != 0 && Key(entry) == key) {
      if (time - TimeField(entry) >= refresh_after) {
        slot.store(key | time, std::memory_order_relaxed);
      }
      return;
    }
    if (TimeField(entry) < oldest_time) {
      oldest_time = TimeField(entry);
      oldest = &slot;
    }
  }
  oldest->store(key | time, std::memory_order_relaxed);
}

void prefix_locations::Remove(std::uint64_t prefix_hash,
                              std::uint64_t name_hash) {
  const std::uint64_t key = PackKey(prefix_hash, name_hash);
  for (std::atomic<std::uint64_t>& slot : BucketOf(prefix_hash).entries) {
    std::uint64_t entry = slot.load(std::memory_order_relaxed);
    if (entry != 0 && Key(entry) == key) {
      slot.compare_exchange_strong(entry, 0, std::memory_order_relaxed);
    }
  }
}

std::span<const prefix_location> prefix_locations::Find(
    std::uint64_t prefix_hash,
    found_locations& found) const {
  std::size_t count = 0;
  const std::uint64_t wanted = prefix_hash >> kPrefixShift;
  for (const std::atomic<std::uint64_t>& slot : BucketOf(prefix_hash).entries) {
    const std::uint64_t entry = slot.load(std::memory_order_relaxed);
    if (entry != 0 && entry >> kPrefixShift == wanted) {
      found[count] = Unpack(entry);
      ++count;
    }
  }
  return std::span(found).first(count);
}

std::size_t prefix_locations::Count(std::uint64_t name_hash,
                                    time_point since) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i <= mask_; ++i) {
    for (const std::atomic<std::uint64_t>& slot : buckets_[i].entries) {
      const std::uint64_t entry = slot.load(std::memory_order_relaxed);
      const prefix_location seen = Unpack(entry);
      if (entry != 0 && MatchesUpstream(seen, name_hash) &&
          seen.seen_at >= since) {
        ++count;
      }
    }
  }
  return count;
}

prefix_locations::bucket& prefix_locations::BucketOf(
    std::uint64_t prefix_hash) const {
  return buckets_[prefix_hash & mask_];
}

}  // namespace anvilloom
