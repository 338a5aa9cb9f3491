// Defines upstream_log, the latest change of each upstream's entry in the
// store, from which an instance tells others what they lack.
#ifndef INSTANCES_UPSTREAM_LOG_H_
#define INSTANCES_UPSTREAM_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "instances/upstream_announcement.h"

namespace anvilloom {

// Not thread-safe.
class upstream_log {
 public:
  // Records the newest change of an upstream, which the store made at or before
  // revision `through`. The version of a change doesn't tell its revision: some
  // stores give a removal the version of the entry that it removes.
  void Record(const upstream_change& change,
              std::uint64_t through,
              time_point now);

  // States that removals up to revision `through` are not known, as after the
  // first list of the store.
  void BeginAt(std::uint64_t through);

  // All changes with revisions above `from`, or all entries that exist.
  struct extract {
    std::uint64_t from = 0;
    bool whole = false;
    std::vector<upstream_change> changes;
  };
  // The changes after a revision, up to `through`; all entries if some removals
  // after it are not known.
  extract After(std::uint64_t after, std::uint64_t through) const;

  // Returns the changes up to revision `through` learned at `since` or later,
  // as far as they fit into `max_bytes` of a message; later changes come first.
  extract Latest(time_point since,
                 std::uint64_t through,
                 std::size_t max_bytes) const;

  // Whether there are changes after a revision.
  bool HasAfter(std::uint64_t revision) const {
    return !changes_.empty() && changes_.rbegin()->first.first > revision;
  }

  // Forgets the removals learned before `before`.
  void ForgetRemovals(time_point before);

  std::size_t size() const { return changes_.size(); }

 private:
  struct entry {
    upstream_change change;
    time_point learned_at;
  };
  // Revision that covers the change, and the id of the upstream.
  using position = std::pair<std::uint64_t, std::string>;

  std::map<position, entry> changes_;
  std::map<std::string, std::uint64_t, std::less<>> positions_;
  // Removals at or before this revision may have been forgotten.
  std::uint64_t forgotten_through_ = 0;
};

// Upper bound of the size of a change in a message.
std::size_t MessageBytes(const upstream_change& change);

}  // namespace anvilloom

#endif  // INSTANCES_UPSTREAM_LOG_H_
