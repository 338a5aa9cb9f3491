// Defines departed_entries, which deletes the store's entries of entry
// instances that are gone. A new instance charges the even share of every
// listed one until it has heard of it, so entries must not pile up.
#ifndef ENTRY_DEPARTED_ENTRIES_H_
#define ENTRY_DEPARTED_ENTRIES_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/log.h"
#include "common/time.h"
#include "instances/peer_report.h"
#include "wire/object_store.h"

namespace anvilloom {

// Belongs to the control thread. Every instance notes who is gone; the one that
// may act deletes.
template <object_store Store>
class departed_entries {
 public:
  // `kind` is the kind of the entries. All references must outlive this.
  departed_entries(Store& store,
                   const report_board& board,
                   std::string_view kind)
      : store_(store), board_(board), kind_(kind) {}

  void Note(std::string_view name, time_point now) {
    due_.insert_or_assign(std::string(name),
                          deadline::After(now, kReturnLimit));
  }

  // Deletes what is due, unless the instance has come back; forgets it if
  // another instance may act. Returns the number of deleted entries.
  awaitable<std::size_t> Remove(time_point now, bool may_act) {
    std::size_t removed = 0;
    for (const std::string& name : TakeDue(now)) {
      if (may_act && !board_.HasHeard(name) &&
          co_await Delete(name, deadline::After(now, kCallLimit))) {
        ++removed;
      }
    }
    co_return removed;
  }

 private:
  // A process that is restarted, or whose machine was without power, is back
  // under its name in this time.
  static constexpr duration kReturnLimit = std::chrono::seconds(30);
  static constexpr duration kCallLimit = std::chrono::seconds(1);

  std::vector<std::string> TakeDue(time_point now) {
    std::vector<std::string> names;
    std::erase_if(due_, [&](const auto& entry) {
      const bool due = entry.second.Expired(now);
      if (due) {
        names.push_back(entry.first);
      }
      return due;
    });
    return names;
  }

  awaitable<bool> Delete(std::string_view name, deadline until) {
    const auto entry = co_await store_.Get(kind_, name, until);
    if (!entry && entry.error() == store_error::kNotFound) {
      co_return false;
    }
    // An entry that could not be deleted is left to whoever finds it next.
    const bool deleted =
        entry && co_await store_.Delete(kind_, name, entry->version, until);
    Log(deleted ? log_level::kInfo : log_level::kWarning,
        log_event::kPeerEntryRemoved,
        {{"peer", std::string(name)}, {"result", deleted ? "done" : "failed"}});
    co_return deleted;
  }

  Store& store_;
  const report_board& board_;
  std::string kind_;
  std::map<std::string, deadline> due_;
};

}  // namespace anvilloom

#endif  // ENTRY_DEPARTED_ENTRIES_H_
