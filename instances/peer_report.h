// Defines peer_report, what an entry instance tells the others several
// times a second, and report_board, what this instance knows from them.
#ifndef INSTANCES_PEER_REPORT_H_
#define INSTANCES_PEER_REPORT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/time.h"
#include "contracts/usage_counts.h"
#include "instances/upstream_announcement.h"

namespace anvilloom {

// What a workspace has been granted by an instance since the instance started.
struct granted_units {
  std::string workspace;
  std::uint64_t units = 0;
};

// Work that an instance has at one upstream.
struct sent_work {
  std::uint64_t upstream_hash = 0;
  std::uint32_t running = 0;
  std::uint32_t unread_tokens = 0;
};

// Prompt tokens that upstreams of a service had to read for an instance since
// the instance started.
struct read_tokens {
  std::string service;
  std::uint64_t tokens = 0;
};

// Changes in one report of kind kChanges: about 1,100 bytes, which fit into one
// packet. Larger datagrams are lost as a whole when a link is busy.
inline constexpr std::size_t kChangesPerReport = 10;

// What a report was sent for. Values that belong to another content are
// missing.
enum class report_content : std::uint8_t {
  kWhole,
  kChanges,  // Changes of announcements only.
  kLoad,     // Work at the upstreams that it names only.
};

// Every report carries whole values, never differences, so a lost or repeated
// report does no harm. Workspaces whose units have not grown lately may be left
// out.
struct peer_report {
  std::string name;
  // Start of the process, microseconds since 1970; tells restarts apart.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  // Where reports to this instance go.
  std::string address;
  // The fencing number under which this instance holds the duty lease; 0 if it
  // does not hold it.
  std::uint64_t duty_fencing = 0;
  // Wall clock of the sender, microseconds since 1970.
  std::uint64_t wall_us = 0;
  bool leaving = false;
  // What the sender knows of the store, and whether it has compared that with
  // the store lately.
  std::uint64_t manifest_version = 0;
  std::uint64_t upstream_digest = 0;
  bool verified = false;
  // Whether the sender watches the store, and the changes that it saw lately.
  // Those that do not watch take them from here.
  bool watching = false;
  std::vector<upstream_change> changes;
  report_content content = report_content::kWhole;
  std::vector<granted_units> granted;
  // Requests that began to run.
  std::vector<usage_count> begun;
  std::vector<sent_work> sent;
  std::vector<read_tokens> read;
};

// Times of the board, in microseconds.
struct report_board_terms {
  // An instance that is silent for longer is charged its even share of every
  // limit. Five reports at the default interval of 200 ms.
  duration silent_after = std::chrono::seconds(1);
  // An instance that is silent for longer is taken as removed. Longer than any
  // partition that the users' pages describe.
  duration removed_after = std::chrono::seconds(30);
};

// Owned by one thread.
class report_board {
 public:
  // How long a process counts as just started. Together with the debts that a
  // restart of all forgets, a shorter time lets a window of eight seconds
  // overshoot its limit.
  static constexpr duration kSettle = std::chrono::seconds(3);

  explicit report_board(std::string own_name,
                        const report_board_terms& terms = {})
      : own_name_(std::move(own_name)), terms_(terms) {}

  // Reports come each `interval`; an instance is silent after kMissedReports of
  // them, and not before `silent_after`.
  void SetInterval(duration interval) {
    silent_after_ = std::max(terms_.silent_after, interval * kMissedReports);
  }

  // Takes an instance that has not reported yet into account, for example from
  // a list. An instance that never reports is dropped like a silent one.
  void Expect(std::string_view name, std::string_view address, time_point now);

  // When units were granted.
  enum class grant_time : std::uint8_t {
    kSinceLastReport,
    // Part of it before this instance first heard of the other one, or while
    // this one did not run.
    kUnknown,
  };
  // The growth of a workspace's granted units at another instance.
  struct new_grants {
    std::string_view workspace;
    std::uint64_t units = 0;
    grant_time when = grant_time::kSinceLastReport;
  };
  // What follows from a report for the limits.
  struct grant_sink {
    std::function<void(const new_grants&)> charge;
    // Takes back the even share that was charged for the sender: `limit_time`
    // of every limit. Comes before what the sender granted in its place.
    std::function<void(duration limit_time)> take_back;
  };

  // Takes in a report; older ones than the last are dropped. Tells `sink` what
  // was granted since the last report of the same process.
  void Take(const peer_report& report, time_point now, const grant_sink& sink);

  // What the instances whose grants are not known may have granted.
  struct unseen_grants {
    // Their number, and the part of each limit that is charged for them.
    std::size_t members = 0;
    double share = 0;
    duration passed{0};
    grant_time when = grant_time::kSinceLastReport;
  };
  // For the time since the last call. Call it once each interval.
  unseen_grants TakeUnseen(time_point now);

  // Drops instances that were silent for too long; returns their names.
  std::vector<std::string> Sweep(time_point now);

  // Whether an instance of that name has reported.
  bool HasHeard(std::string_view name) const;

  // Instances that are known, this one included.
  std::size_t Members() const { return peers_.size() + 1; }
  // By how much longer than for a few instances anything takes that costs one
  // message or value for each.
  std::int64_t IntervalFactor() const {
    return static_cast<std::int64_t>(
        std::max<std::size_t>(Members() / kMembersPerInterval, 1));
  }
  // Those of them that are silent at `now`.
  std::size_t Silent(time_point now) const;
  // Those of them whose grants are not known: they are silent, or their
  // processes have just started. They are charged their even share of every
  // limit instead of what they report.
  std::size_t Unaccounted(time_point now) const;
  // Where another instance takes reports, and whether it needs the usage: it
  // does the duties or is among the first that would take them over.
  struct recipient {
    std::string address;
    bool needs_usage = false;
  };
  std::vector<recipient> Recipients(time_point now) const;

  // The addresses of the first `count` instances, in an order of their own for
  // each upstream, that tell each other at once what they send there; empty if
  // this instance is none of them. Silent ones are left out.
  std::vector<std::string> CoSenders(std::uint64_t upstream_hash,
                                     std::size_t count,
                                     time_point now) const;

  // Work of all others at each upstream.
  std::map<std::uint64_t, sent_work> SentElsewhere(time_point now) const;
  // What all others have counted, processes that have ended included.
  const usage_counts& counts() const { return counts_; }
  void KeepCounts(std::uint64_t first_window, std::uint64_t last_window) {
    counts_.KeepOnly(first_window, last_window);
  }
  // Whether every other instance was heard at `time` or later.
  bool HeardAllSince(time_point time) const;
  // Tokens that the others' calls to a service had upstreams read. Drops when a
  // process restarts.
  std::uint64_t ReadElsewhere(std::string_view service) const;
  // What to add to the monotonic clock for the time of day, in microseconds:
  // the median over this instance, whose own value is `own_us`, and those heard
  // lately. A clock that jumps does not move it while most clocks are right.
  std::int64_t MedianWallOffset(std::int64_t own_us, time_point now) const;

  // The highest fencing number that another instance reports to act under, if
  // it reported within `silent_after`; 0 if none.
  std::uint64_t DutyFencingElsewhere(time_point now) const;
  // The last report of an instance that compares its state with the store, if
  // one was heard lately; null otherwise.
  const peer_report* Verified(time_point now) const;
  // The newest manifest that another instance has.
  std::uint64_t NewestManifest() const;
  // Number of instances heard lately that precede this one in the order in
  // which instances take on what a few of them do for all. The order mixes the
  // failure domains.
  std::size_t Rank(time_point now) const;
  // How many of the instances that precede this one watch the store.
  std::size_t WatchersBefore(time_point now) const;

 private:
  struct peer {
    std::string address;
    time_point heard_at;
    bool heard = false;
    // Its time of day minus the monotonic clock here, in microseconds.
    std::int64_t wall_offset_us = 0;
    peer_report last;
    // What the process has granted, and how much of it was charged.
    std::map<std::string, std::uint64_t, std::less<>> granted;
    std::map<std::string, std::uint64_t, std::less<>> charged;
    // Part of every limit that was charged in place of its grants while they
    // were not known, and from when on all of them are known again.
    duration share_charged{0};
    // The process ran for long when it was first heard of.
    bool ran_before = false;
    time_point all_known_at = time_point::min();
  };

  static void TakeLoad(peer& sender, const peer_report& report);
  void TakeGrants(const peer_report& report,
                  peer& sender,
                  time_point now,
                  const grant_sink& sink) const;
  // Notices that this process has not run for a while: everyone seems to have
  // been silent, and old reports wait to be read.
  void NoteRunning(time_point now);
  bool HasJustResumed(time_point now) const {
    return now < resumed_at_ + silent_after_ / 2;
  }
  // Whether an instance precedes this one in the order of ranks, and lives.
  bool Precedes(std::string_view name, const peer& each, time_point now) const;

  // Whether the sender has just started. After a restart of all instances none
  // knows what the others grant until reports have gone round, and each keeps
  // to its even share.
  static bool IsSettling(const peer_report& report) {
    return report.wall_us >= report.epoch &&
           report.wall_us - report.epoch <
               static_cast<std::uint64_t>(kSettle.count());
  }

  bool IsSilent(const peer& each, time_point now) const {
    return !each.heard || each.heard_at + silent_after_ < now;
  }

  bool IsUnaccounted(const peer& each, time_point now) const {
    return IsSilent(each, now) || IsSettling(each.last);
  }

  static constexpr int kMissedReports = 4;
  // Each instance reports to each other one, so the interval grows with their
  // number. At 60 instances and 500 bytes a report, that is 49 KB a second.
  static constexpr std::size_t kMembersPerInterval = 20;

  std::string own_name_;
  report_board_terms terms_;
  duration silent_after_ = terms_.silent_after;
  // When this process last did something here, and when it last went on after
  // a pause.
  time_point ran_at_ = time_point::min();
  time_point resumed_at_ = time_point::min();
  // Until when unseen grants were charged.
  time_point unseen_until_ = time_point::min();
  std::map<std::string, peer, std::less<>> peers_;
  usage_counts counts_;
};

}  // namespace anvilloom

#endif  // INSTANCES_PEER_REPORT_H_
