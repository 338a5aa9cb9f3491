// Defines suspect_view, the snapshot of the prompt parts that may crash
// upstreams which calls are checked against.
#ifndef LINKS_SUSPECT_VIEW_H_
#define LINKS_SUSPECT_VIEW_H_

#include <atomic>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "common/time.h"

namespace anvilloom {

// Blocked parts that were present at the same ends of upstreams, so that any of
// them may be the cause. Only calls with all of them are refused; the others
// show which part it is. The flag is set by the threads that serve callers.
struct blocked_group {
  std::vector<std::uint64_t> parts;
  // Indices of the other groups that were present at each of these ends, too.
  // Only calls with all of their parts as well are refused.
  std::vector<std::size_t> alternatives;
  // When this instance may send one call with these parts, to find out whether
  // they still crash upstreams.
  deadline trial_at = deadline::Never();
  std::shared_ptr<std::atomic<bool>> trial_taken;
};

// Whether a call may be sent although parts of its prompt are blocked.
enum class trial : std::uint8_t {
  kNotNeeded,    // The parts of the prompt don't block it.
  kTaken,        // The call is the one that tries the parts.
  kUnavailable,  // Another call is trying them.
};

// Immutable except for the flags. Thread-safe. The work for a call grows with
// its parts; for one with a blocked part, also with the blocked groups.
class suspect_view {
 public:
  suspect_view() = default;
  // `suspected` are all parts under which upstreams have ended, those of the
  // groups among them. No part may be in two groups.
  suspect_view(std::span<const std::uint64_t> suspected,
               std::vector<blocked_group> groups);

  // Returns when a call with these parts may be sent: nothing if now, otherwise
  // the deadline of the next trial.
  std::optional<deadline> BlockedUntil(std::span<const std::uint64_t> parts,
                                       time_point now) const;
  // Reserves the trial of each group that blocks a call which BlockedUntil()
  // lets through.
  trial TakeTrials(std::span<const std::uint64_t> parts) const;
  // Whether an answer to a call with these parts must be reported, because one
  // of them is suspected. True for the first such answer only.
  bool MustReportAnswer(std::span<const std::uint64_t> parts) const;

  std::size_t suspected() const { return indices_.size(); }
  std::span<const blocked_group> groups() const { return groups_; }

 private:
  // Returns the groups that block a call with these parts.
  std::vector<const blocked_group*> BlockingGroups(
      std::span<const std::uint64_t> parts) const;

  static constexpr std::size_t kNotBlocked = static_cast<std::size_t>(-1);

  // The index of each suspected part in the arrays below.
  boost::unordered_flat_map<std::uint64_t, std::size_t> indices_;
  // The group of each part, or kNotBlocked.
  std::vector<std::size_t> group_of_;
  // Whether an answer to a call with the part has been reported since this view
  // was made.
  std::unique_ptr<std::atomic<bool>[]> answer_seen_;
  std::vector<blocked_group> groups_;
};

}  // namespace anvilloom

#endif  // LINKS_SUSPECT_VIEW_H_
