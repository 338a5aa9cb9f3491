// Defines stale_entry_remover, which deletes the store entries of entry
// instances that have left the cluster. A new instance charges an equal share
// of the limits for every listed instance until it has received a report from
// it, so stale entries must not accumulate.
#ifndef ENTRY_STALE_ENTRY_REMOVER_H_
#define ENTRY_STALE_ENTRY_REMOVER_H_

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

// Not thread-safe; used on the control thread only. Every instance records
// which instances are gone; only the holder of the duty lease deletes entries.
template <object_store Store>
class stale_entry_remover {
 public:
  // `kind` is the object kind of the entries. `store` and `peer_reports` must
  // outlive this object.
  stale_entry_remover(Store& store,
                      const peer_report_table& peer_reports,
                      std::string_view kind)
      : store_(store), peer_reports_(peer_reports), kind_(kind) {}

  void MarkDeparted(std::string_view name, time_point now) {
    due_.insert_or_assign(std::string(name),
                          deadline::After(now, kRestartGracePeriod));
  }

  // Deletes the entries that are due, except those of instances that have
  // reported again. If `may_act` is false, drops them without deleting, since
  // another instance holds the duty lease. Returns the number of deleted
  // entries.
  awaitable<std::size_t> Remove(time_point now, bool may_act) {
    std::size_t removed = 0;
    for (const std::string& name : ExtractDue(now)) {
      if (may_act && !peer_reports_.HasReported(name) &&
          co_await Delete(name, deadline::After(now, kCallTimeout))) {
        ++removed;
      }
    }
    co_return removed;
  }

 private:
  // A process that was restarted, or whose machine lost power, is back under
  // the same name within this time.
  static constexpr duration kRestartGracePeriod = std::chrono::seconds(30);
  static constexpr duration kCallTimeout = std::chrono::seconds(1);

  std::vector<std::string> ExtractDue(time_point now) {
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
    // A failed delete is not retried here; the next instance that finds the
    // entry stale deletes it.
    const bool deleted =
        entry && co_await store_.Delete(kind_, name, entry->version, until);
    Log(deleted ? log_level::kInfo : log_level::kWarning,
        log_event::kPeerEntryRemoved,
        {{"peer", std::string(name)}, {"result", deleted ? "done" : "failed"}});
    co_return deleted;
  }

  Store& store_;
  const peer_report_table& peer_reports_;
  std::string kind_;
  std::map<std::string, deadline> due_;
};

}  // namespace anvilloom

#endif  // ENTRY_STALE_ENTRY_REMOVER_H_
