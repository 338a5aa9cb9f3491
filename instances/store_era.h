// Defines store_era, the newest era of the store that this instance knows, and
// the versions in which an object's revision is combined with its era.
#ifndef INSTANCES_STORE_ERA_H_
#define INSTANCES_STORE_ERA_H_

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace anvilloom {

// The store begins a new era each time it comes back from an older copy.
// Revisions of the copy and later ones are given out again in the new era, so
// versions order by era first. Eras count from 1 here; 0 is that of a store
// which tells no era, and a version is then the revision itself.
inline constexpr unsigned kRevisionBits = 44;
inline constexpr std::uint64_t kMaxRevision =
    (std::uint64_t{1} << kRevisionBits) - 1;
// Bounded so that a version can be a fencing number, which lease_json.h limits
// to 62 bits.
inline constexpr std::uint64_t kMaxEra = (std::uint64_t{1} << 18U) - 1;

constexpr std::uint64_t MakeVersion(std::uint64_t era, std::uint64_t revision) {
  return (era << kRevisionBits) | revision;
}
constexpr std::uint64_t EraOf(std::uint64_t version) {
  return version >> kRevisionBits;
}
constexpr std::uint64_t RevisionOf(std::uint64_t version) {
  return version & kMaxRevision;
}

// Thread-safe.
class store_era {
 public:
  // What a response of the store says of its era.
  enum class finding : std::uint8_t {
    kPresent,   // The newest era known, or no era.
    kRaised,    // The store has come back from an older copy.
    kOutdated,  // An earlier era than the store has told before.
  };

  // Records the era that a response of the store tells, 0 if it tells none. A
  // response without an era counts as one of the newest era seen.
  finding Observe(std::uint64_t era) {
    std::uint64_t seen = seen_.load(std::memory_order_relaxed);
    if (era == 0 || era == seen) {
      return finding::kPresent;
    }
    if (era < seen) {
      outdated_.fetch_add(1, std::memory_order_relaxed);
      return finding::kOutdated;
    }
    const bool first = seen == 0;
    Raise(seen_, era);
    return first ? finding::kPresent : finding::kRaised;
  }
  // Another instance has seen this era. It does not make responses of an
  // earlier era outdated.
  void Hear(std::uint64_t era) { Raise(heard_, std::min(era, kMaxEra)); }
  // The manifest and the upstreams are known as of this era.
  void SetView(std::uint64_t era) { Raise(view_, era); }
  void CountUnreadable() {
    unreadable_.fetch_add(1, std::memory_order_relaxed);
  }

  // The newest era in the responses that this instance got; 0 if none told one.
  std::uint64_t seen() const { return seen_.load(std::memory_order_relaxed); }
  // The newest era that this instance or another one has seen.
  std::uint64_t newest() const {
    return std::max(seen(), heard_.load(std::memory_order_relaxed));
  }
  std::uint64_t view() const { return view_.load(std::memory_order_relaxed); }
  // Whether the manifest and the upstreams are those of an earlier era.
  bool IsViewBehind() const { return newest() > view(); }
  // Responses that were not used because of their era, and headers that were
  // not a number.
  std::uint64_t outdated() const {
    return outdated_.load(std::memory_order_relaxed);
  }
  std::uint64_t unreadable() const {
    return unreadable_.load(std::memory_order_relaxed);
  }

 private:
  static void Raise(std::atomic<std::uint64_t>& to, std::uint64_t era) {
    std::uint64_t known = to.load(std::memory_order_relaxed);
    while (known < era &&
           !to.compare_exchange_weak(known, era, std::memory_order_relaxed)) {
    }
  }

  std::atomic<std::uint64_t> seen_{0};
  std::atomic<std::uint64_t> heard_{0};
  std::atomic<std::uint64_t> view_{0};
  std::atomic<std::uint64_t> outdated_{0};
  std::atomic<std::uint64_t> unreadable_{0};
};

}  // namespace anvilloom

#endif  // INSTANCES_STORE_ERA_H_
