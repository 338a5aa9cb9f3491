// Defines announced_upstreams, which derives the set of upstreams that may
// receive work from the entries in the store, and tolerates store outages.
#ifndef ENTRY_ANNOUNCED_UPSTREAMS_H_
#define ENTRY_ANNOUNCED_UPSTREAMS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "entry/serving_view.h"
#include "wire/transfer.h"

namespace anvilloom {

// Entries of live upstreams may expire during a store outage and reappear
// within about two seconds of its end. During that period the removal of a
// missing entry is delayed; at other times a missing entry means that the
// upstream is gone. A store that comes back from an older copy is treated like
// one after an outage. An entry of the copy does not replace a later one of the
// same run, or one of a later run. One whose removal this instance has acted on
// gets work only if it is still there when its removal would have been
// repeated.
//
// Not thread-safe; used on the control thread only.
class announced_upstreams {
 public:
  // `changed` is called whenever the upstreams in `builder` have changed.
  announced_upstreams(serving_view_builder& builder,
                      std::function<void()> changed)
      : builder_(builder), changed_(std::move(changed)) {}

  // Applies a full list of the announcements at store version `version`; each
  // change carries the version of its entry. Returns the changes that were new,
  // also those that don't yet change the upstreams that get work.
  std::vector<upstream_change> ApplyList(
      std::uint64_t version,
      std::span<const upstream_change> announced,
      time_point now);
  // Applies changes from a watch or another instance. Changes older than the
  // known state are dropped, so that sources may deliver out of order. Returns
  // those that were new.
  std::vector<upstream_change> ApplyChanges(
      std::span<const upstream_change> changes,
      time_point now);
  bool ApplyChange(const upstream_change& change, time_point now) {
    return !ApplyChanges({&change, 1}, now).empty();
  }
  // Records that the store stopped responding or responds again.
  void SetStoreReachable(bool reachable, time_point now);

  // A digest of all entries, by which instances compare their state.
  std::uint64_t digest() const;

  // Removes and returns upstreams whose delay has expired.
  void Sweep(time_point now);
  // Sweeps periodically; never returns.
  awaitable<void> Run();

 private:
  // Entries that expired in an outage are back within two seconds. An upstream
  // that has left receives work for at most this long after its entry is gone.
  static constexpr duration kRemovalDelay = std::chrono::milliseconds(1800);
  // Time after the end of an outage in which a missing entry may reappear, and
  // a removal that a copy of the store lacks may be repeated.
  static constexpr duration kRecoveryTime = std::chrono::milliseconds(2500);
  static constexpr duration kSweepInterval = std::chrono::milliseconds(100);

  // The last known state of an entry in the store.
  struct entry_state {
    std::uint64_t version = 0;
    bool present = false;
    std::uint64_t digest = 0;
    // Of the latest announcement, also after its removal.
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
  };

  struct pending_return {
    upstream_announcement announced;
    deadline at;
  };

  // Whether an entry that the store holds in a later era is older than the
  // known one: the copy from which the store came back was taken before it.
  static bool IsFromCopy(const upstream_change& change,
                         const entry_state& known);

  // Whether this instance has acted on the removal of an entry that the store
  // holds in a later era. Either the upstream has left, and removes the entry
  // again, or it is alive, and the entry had only expired.
  bool AwaitsRemoval(const upstream_change& change,
                     const entry_state& known) const;
  void DelayReturn(const upstream_announcement& announced, time_point now);

  // Applies a change unless it is old. Returns whether it was new, and sets
  // `view_changed` if other upstreams get work now.
  bool ApplyIfNewer(const upstream_change& change,
                    time_point now,
                    bool& view_changed);
  bool Announce(const upstream_announcement& announced);
  bool HandleMissing(std::string_view id, time_point now);

  serving_view_builder& builder_;
  std::function<void()> changed_;
  // Removed entries are kept, so that an older change does not restore them.
  std::map<std::string, entry_state, std::less<>> entries_;
  // Entries whose removal is missing in the copy, until their upstreams return.
  std::map<std::string, pending_return, std::less<>> pending_returns_;
  // Missing entries with the time at which their upstream is removed.
  std::map<std::string, deadline, std::less<>> pending_removals_;
  bool store_reachable_ = true;
  deadline recovery_ends_at_ = deadline(time_point::min());
};

}  // namespace anvilloom

#endif  // ENTRY_ANNOUNCED_UPSTREAMS_H_
