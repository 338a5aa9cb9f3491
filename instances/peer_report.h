// Defines peer_report, the state that an entry instance sends to the others
// several times a second, and peer_report_table, the latest reports of the
// others as received by this instance.
#ifndef INSTANCES_PEER_REPORT_H_
#define INSTANCES_PEER_REPORT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "contracts/usage_counts.h"
#include "instances/engine_profile.h"
#include "instances/rollout_report.h"
#include "instances/sent_work.h"
#include "instances/store_news.h"
#include "instances/suspect_report.h"
#include "instances/upstream_announcement.h"

namespace anvilloom {

// Units that an instance has granted to a workspace and refused it since the
// instance started.
struct granted_units {
  std::string workspace;
  std::uint64_t units = 0;
  std::uint64_t refused = 0;

  bool operator==(const granted_units&) const = default;
};

// Prompt tokens that the upstreams of a service had to process (not found in
// their caches) for an instance since the instance started.
struct read_tokens {
  std::string service;
  std::uint64_t tokens = 0;
  // Engine profile that the instance has observed; without observations if it
  // has seen too few first tokens.
  engine_profile profile;
};

// Maximum number of changes in one kChanges report. About 1,100 bytes, which
// fit into one packet: a larger datagram is fragmented, and on a busy link the
// loss of one fragment loses the whole datagram.
inline constexpr std::size_t kChangesPerReport = 10;

// Number of instances besides the duty lease holder that receive all usage
// counts, so that the next holder has them. With three, killing most of seven
// instances at once lost counts that no survivor had.
inline constexpr std::size_t kUsageReplicas = 7;

// What a report contains. Fields that are not part of it are empty.
enum class report_content : std::uint8_t {
  kWhole,
  kChanges,          // Only changes of announcements.
  kLoad,             // Only the work at the upstreams that the report lists.
  kSuspects,         // Only prompt parts that may crash upstreams.
  kNews,             // Only news of the store.
  kNewsQuestion,     // Only a question for news.
  kFinalUsage,       // Only the final counts of a window, in `begun`.
  kRollouts,         // Only rollouts.
  kUsageQuestion,    // Only a question for the final counts of windows.
  kRolloutQuestion,  // Only a question for rollouts.
};

// Reports carry absolute values, never differences, so lost and repeated
// reports do no harm. Workspaces whose units have not increased recently may be
// omitted.
struct peer_report {
  std::string name;
  // Start time of the process in microseconds since 1970. Distinguishes the
  // runs of a restarted process.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  // Address at which this instance receives reports.
  std::string address;
  // Fencing number of the duty lease if this instance holds it, otherwise 0.
  std::uint64_t duty_fencing = 0;
  // Wall clock time of the sender in microseconds since 1970.
  std::uint64_t wall_us = 0;
  bool leaving = false;
  // The sender's view of the store, and whether it has recently verified that
  // view against the store.
  std::uint64_t manifest_version = 0;
  std::uint64_t upstream_digest = 0;
  bool verified = false;
  // The newest era of the store that the sender has seen; 0 if it tells none.
  std::uint64_t store_era = 0;
  // Whether the sender watches the store, and the changes that it received
  // recently. Instances that don't watch the store apply them.
  bool watching = false;
  std::vector<upstream_change> changes;
  report_content content = report_content::kWhole;
  std::vector<granted_units> granted;
  // Whether `granted` says what was refused. Earlier program versions don't.
  bool has_refused = false;
  // Requests that were started.
  std::vector<usage_count> begun;
  // Accounting windows whose final counts the sender knows; those that it asks
  // for in a kUsageQuestion, and the one that it tells in a kFinalUsage report.
  std::vector<std::uint64_t> final_windows;
  std::vector<sent_work> sent;
  std::vector<read_tokens> read;
  // Prompt parts that may crash upstreams; in a whole report the blocked ones.
  std::vector<suspect_report> suspects;
  // Only in a kNews report.
  std::optional<store_news> news;
  // Only in a kNewsQuestion report: the time of the question by the sender's
  // clock.
  time_point asked_at;
  // Only in a kRollouts report.
  std::vector<rollout_report> rollouts;
};

// Timeouts of peer_report_table, in microseconds.
struct peer_report_table_options {
  // After this time without a report, an instance is charged an equal share of
  // every limit. Five reports at the default interval of 200 ms.
  duration silent_after = std::chrono::seconds(1);
  // After this time without a report, an instance is considered removed. Longer
  // than any partition in the user requirements.
  duration removed_after = std::chrono::seconds(30);
};

// Not thread-safe.
class peer_report_table {
 public:
  // How long a process counts as just started. A restart of all instances loses
  // the outstanding debts. With a shorter time, the units granted in the next
  // eight-second window exceed the limit.
  static constexpr duration kSettle = std::chrono::seconds(3);

  explicit peer_report_table(std::string own_name,
                             const peer_report_table_options& options = {})
      : own_name_(std::move(own_name)), options_(options) {}

  // Sets the report interval. An instance counts as silent after
  // kMaxMissedReports intervals, but not before `silent_after`.
  void SetInterval(duration interval) {
    silent_after_ =
        std::max(options_.silent_after, interval * kMaxMissedReports);
  }

  // Adds an instance that has not reported yet, for example from a list. It is
  // removed like a silent one if it never reports.
  void Expect(std::string_view name, std::string_view address, time_point now);

  // Period in which units were granted.
  enum class grant_time : std::uint8_t {
    kSinceLastReport,
    // Possibly before the first report from the other instance, or while this
    // process was paused.
    kUnknown,
  };
  // Increase of a workspace's granted units at another instance.
  struct new_grants {
    std::string_view workspace;
    std::uint64_t units = 0;
    grant_time when = grant_time::kSinceLastReport;
  };
  // Units that a workspace asked another instance for, granted or not.
  struct asked_units {
    std::string_view workspace;
    std::uint64_t units = 0;
  };
  // What another instance was asked for in the time since its last report.
  // Workspaces that are not listed asked for nothing.
  struct new_demand {
    duration covered{0};
    std::span<const asked_units> asked;
  };
  // Callbacks that apply a report to the limits.
  struct grant_sink {
    std::function<void(const new_grants&)> charge;
    // Refunds the equal share that was charged for the sender: the units that
    // each limit allows in `limit_time` (microseconds). Called before the
    // actual grants are charged.
    std::function<void(duration limit_time)> refund;
    std::function<void(const new_demand&)> demand = [](const new_demand&) {};
  };

  // Applies a report, unless it is older than the last one. Passes the units
  // granted since the last report of the same process to `sink`.
  void Take(const peer_report& report, time_point now, const grant_sink& sink);

  // Grants assumed for the instances whose actual grants are unknown.
  struct assumed_grants {
    // Number of these instances, and the share of each limit charged for them.
    std::size_t members = 0;
    double share = 0;
    duration passed{0};
    grant_time when = grant_time::kSinceLastReport;
  };
  // Returns the assumed grants since the last call. Call once per interval.
  assumed_grants TakeAssumedGrants(time_point now);

  // Removes instances that have been silent for too long; returns their names.
  std::vector<std::string> Sweep(time_point now);

  // Whether an instance with this name has reported.
  bool HasReported(std::string_view name) const;

  // Names of the other known instances.
  std::vector<std::string> Names() const;
  // Number of known instances, including this one.
  std::size_t Members() const { return peers_.size() + 1; }
  // Factor for the interval of periodic work that costs one message or value
  // per instance; 1 for small fleets.
  std::int64_t IntervalFactor() const {
    return static_cast<std::int64_t>(
        std::max<std::size_t>(Members() / kMembersPerInterval, 1));
  }
  // The same for the reports of a process that has just started, which are more
  // frequent.
  std::int64_t StartupIntervalFactor() const {
    return static_cast<std::int64_t>(
        std::max<std::size_t>(Members() / kMembersPerStartupInterval, 1));
  }
  // Number of known instances that are silent at `now`.
  std::size_t CountSilent(time_point now) const;
  // Report address of another instance, and whether it needs the usage counts:
  // it holds the duty lease or is among the first that would take it over.
  struct recipient {
    std::string address;
    bool needs_usage = false;
  };
  std::vector<recipient> Recipients(time_point now) const;

  // Returns the report addresses of `count` other instances, drawn at random;
  // silent ones only if there are not enough others.
  template <random_source Random>
  std::vector<std::string> DrawRecipients(std::size_t count,
                                          Random& random,
                                          time_point now) const;

  // Returns the report addresses of the other instances in the group that
  // exchanges load reports about an upstream immediately: the first `count`
  // live instances by a hash of instance and upstream. Empty if this instance
  // is not in the group. Silent instances are left out.
  std::vector<std::string> LoadReportPeers(std::uint64_t upstream_hash,
                                           std::size_t count,
                                           time_point now) const;

  // Returns the work of all other live instances by upstream hash.
  std::map<std::uint64_t, sent_work> PeerUpstreamLoad(time_point now) const;
  // Usage counts of all other instances, including processes that have ended.
  const usage_counts& counts() const { return counts_; }
  void KeepCounts(std::uint64_t first_window, std::uint64_t last_window) {
    counts_.RetainWindows(first_window, last_window);
  }
  // Whether every other instance has reported at `time` or later.
  bool AllReportedSince(time_point time) const;
  // Prompt tokens that the upstreams of a service had to process for the other
  // instances. Decreases when a process restarts.
  std::uint64_t PeerReadTokens(std::string_view service) const;
  // Engine profiles of a service that the other instances have reported.
  std::vector<engine_profile> PeerProfiles(std::string_view service) const;
  // Returns the offset from the monotonic clock to the wall clock in
  // microseconds: the median of `own_us`, the offset of this instance, and
  // those of the other live instances. Clock jumps of a minority don't affect
  // it.
  std::int64_t MedianWallOffset(std::int64_t own_us, time_point now) const;

  // Returns the highest duty fencing number reported by another live instance,
  // or 0 if there is none.
  std::uint64_t PeerDutyFencing(time_point now) const;
  // Returns the last report of a live instance that has verified its state
  // against the store, or null if there is none.
  const peer_report* FindVerified(time_point now) const;
  // Returns the newest manifest version reported by another instance.
  std::uint64_t NewestManifest() const;
  // Number of live instances that precede this one in the order in which
  // instances take on shared duties. The order is by hash of the name, which
  // mixes the failure domains.
  std::size_t Rank(time_point now) const;
  // Number of instances that precede this one and watch the store.
  std::size_t WatchersBefore(time_point now) const;

 private:
  struct peer_units {
    // As last reported; `asked` is granted and refused units.
    std::uint64_t granted = 0;
    std::optional<std::uint64_t> asked;
    // Grants that have been passed on.
    std::optional<std::uint64_t> charged;
  };
  struct peer {
    std::string address;
    time_point heard_at;
    bool heard = false;
    // Its wall clock minus the monotonic clock of this instance, in
    // microseconds.
    std::int64_t wall_offset_us = 0;
    peer_report last;
    // Units of the process by workspace.
    std::map<std::string, peer_units, std::less<>> units;
    // Limit time, as in grant_sink::refund, charged in place of the grants
    // while they were unknown.
    duration share_charged{0};
    // Whether the process had been running for longer than kSettle when its
    // first report arrived.
    bool was_running_before = false;
    // Time from which on all grants are known again.
    time_point grants_known_at = time_point::min();
  };

  static void ApplyLoad(peer& sender, const peer_report& report);
  void ApplyGrants(const peer_report& report,
                   peer& sender,
                   time_point now,
                   const grant_sink& sink) const;
  // Returns the time in which the sender was asked for what is new in its
  // report; zero if that is unknown.
  duration CoveredTime(const peer_report& report,
                       const peer& sender,
                       time_point now) const;
  // Passes on what the sender was asked for since its last report.
  static void ApplyDemand(const peer_report& report,
                          peer& sender,
                          duration covered,
                          time_point now,
                          const grant_sink& sink);
  // Detects a pause of this process, after which all others seem to have been
  // silent and old reports are still unread.
  void DetectPause(time_point now);
  bool HasJustResumed(time_point now) const {
    return now < resumed_at_ + silent_after_ / 2;
  }
  // Whether an instance is live and precedes this one in the rank order.
  bool Precedes(std::string_view name, const peer& each, time_point now) const;

  // Whether the sender has just started. Its first report then lists all that
  // the process has granted. One that has run for longer leaves out workspaces
  // whose units have not increased recently.
  static bool IsStartingUp(const peer_report& report) {
    return report.wall_us >= report.epoch &&
           report.wall_us - report.epoch <
               static_cast<std::uint64_t>(kSettle.count());
  }

  bool IsSilent(const peer& each, time_point now) const {
    return !each.heard || each.heard_at + silent_after_ < now;
  }

  static constexpr int kMaxMissedReports = 4;
  // Each instance reports to every other one, so the interval grows with their
  // number. With 60 instances and 500 bytes per report, each instance sends
  // 49 KB/s.
  static constexpr std::size_t kMembersPerInterval = 20;
  // While all start at once, an instance sends and receives at most this many
  // reports in an interval of a small fleet.
  static constexpr std::size_t kMembersPerStartupInterval = 80;

  std::string own_name_;
  peer_report_table_options options_;
  duration silent_after_ = options_.silent_after;
  // When this process last used the table, and when it last resumed after a
  // pause.
  time_point last_active_at_ = time_point::min();
  time_point resumed_at_ = time_point::min();
  // Time up to which assumed grants have been charged.
  time_point assumed_until_ = time_point::min();
  std::map<std::string, peer, std::less<>> peers_;
  usage_counts counts_;
};

template <random_source Random>
std::vector<std::string> peer_report_table::DrawRecipients(
    std::size_t count,
    Random& random,
    time_point now) const {
  // Live instances come first; among them, and among the silent ones, the order
  // is random.
  std::vector<std::pair<std::uint64_t, const std::string*>> drawn;
  drawn.reserve(peers_.size());
  for (const auto& [name, each] : peers_) {
    const std::uint64_t silent = IsSilent(each, now) ? 1 : 0;
    drawn.emplace_back((silent << 63U) | (random.Next() >> 1U), &each.address);
  }
  const std::size_t taken = std::min(count, drawn.size());
  std::ranges::partial_sort(drawn,
                            drawn.begin() + static_cast<std::ptrdiff_t>(taken));
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < taken; ++i) {
    addresses.push_back(*drawn[i].second);
  }
  return addresses;
}

}  // namespace anvilloom

#endif  // INSTANCES_PEER_REPORT_H_
