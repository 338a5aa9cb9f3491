// Defines usage_reporter, which reports the usage of each accounting window to
// the cloud once, with the same counts whichever instance reports it, also when
// the store comes back from an older copy.
#ifndef ENTRY_USAGE_REPORTER_H_
#define ENTRY_USAGE_REPORTER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/log.h"
#include "entry/cloud_duties.h"
#include "entry/gateway_state.h"
#include "entry/usage_checkpoint.h"
#include "entry/usage_record.h"
#include "instances/lease.h"
#include "instances/peer_report.h"
#include "wire/object_store.h"

namespace anvilloom {

// Object kind of the final usage reports. The object name is the window number.
inline constexpr std::string_view kUsageKind = "usage-reports";

// A store that comes back from an older copy may have lost the final counts of
// a window that was reported. The cloud can't be asked, so a window that may
// have been reported in an earlier era of the store is in doubt unless its
// final counts are known or stored: it is not reported.
//
// Not thread-safe; used on the control thread only.
template <object_store Store, cloud_duties Cloud>
class usage_reporter {
 public:
  usage_reporter(gateway_state& state,
                 const peer_report_table& peer_reports,
                 Store& store,
                 Cloud& cloud)
      : state_(state),
        peer_reports_(peer_reports),
        store_(store),
        cloud_(cloud),
        checkpoint_(store) {}

  // Notes the era of the store. Called several times a second, whether this
  // instance holds the lease or not: no window that settles after an era was
  // first seen has been reported in an earlier one.
  void ObserveEra() {
    const std::uint64_t era = state_.era.seen();
    if (std::exchange(seen_era_, era) != era) {
      era_seen_at_ = state_.clock.Now();
    }
  }

  // Reports the ended windows whose counts are complete and saves the counts of
  // the others. `tenure` returns that of the duty lease.
  awaitable<void> Report(const std::function<lease_tenure()>& tenure) {
    ObserveEra();
    const std::uint64_t era = seen_era_;
    const lease_tenure held = tenure();
    if (loaded_fencing_ != held.fencing || loaded_era_ != era) {
      loaded_fencing_ = held.fencing;
      checkpoint_.Invalidate();
      in_doubt_.clear();
    }
    if (std::exchange(loaded_era_, era) != era) {
      // An older copy of the store may lack them. Windows that are no longer
      // reported by a new holder need no object.
      for (const auto& [window, report] : final_) {
        restore_.insert(window);
      }
    }
    co_await RestoreOne();
    // Without the counts stored by earlier holders, a report could be too low.
    if (!co_await checkpoint_.Load(CallDeadline())) {
      co_return;
    }
    if (state_.era.seen() != era) {
      co_return;  // The counts may be those of the next era.
    }
    EstablishStart(held.since);
    const std::uint64_t current = state_.CurrentWindow();
    for (std::uint64_t window = current - kEarlierWindows - 1; window < current;
         ++window) {
      if (!reported_.contains(window) && HasSettled(window)) {
        co_await ReportWindow(window, tenure);
      }
    }
    while (reported_.size() > 2 * kEarlierWindows) {
      reported_.erase(reported_.begin());
    }
    co_await SaveCounts(current);
  }

  // Remembers the final counts of a window, which this instance or another one
  // has stored: the object may be gone when the store comes back from a copy.
  void Remember(const usage_report& report) {
    final_.try_emplace(report.window, report);
    while (final_.size() > 2 * kEarlierWindows) {
      final_.erase(final_.begin());
    }
  }
  // The windows whose final counts are known, and the counts of one; null if
  // they are not known.
  std::vector<std::uint64_t> FinalWindows() const {
    std::vector<std::uint64_t> windows;
    for (const auto& [window, report] : final_) {
      windows.push_back(window);
    }
    return windows;
  }
  const usage_report* FindFinal(std::uint64_t window) const {
    const auto found = final_.find(window);
    return found == final_.end() ? nullptr : &found->second;
  }
  // Those of `windows` that a holder may have to report and whose final counts
  // are not known here.
  std::vector<std::uint64_t> Lacking(
      std::span<const std::uint64_t> windows) const {
    const std::uint64_t current = state_.CurrentWindow();
    std::vector<std::uint64_t> lacking;
    std::ranges::copy_if(
        windows, std::back_inserter(lacking), [&](std::uint64_t window) {
          return window < current && window + kEarlierWindows + 1 >= current &&
                 !final_.contains(window);
        });
    return lacking;
  }

 private:
  static constexpr duration kCallTimeout = std::chrono::milliseconds(1000);
  // By this time after the end of a window, the final counts of all reachable
  // instances have arrived.
  static constexpr duration kMinSettleTime = std::chrono::milliseconds(1500);
  // Another holder may have found a window settled this much earlier, since
  // clocks differ.
  static constexpr duration kMaxClockDifference =
      std::chrono::milliseconds(500);
  // Maximum time to wait for the counts of an instance that is partitioned or
  // paused. The report is due ten seconds after the window, and another holder
  // may have to send it.
  static constexpr duration kMaxSettleTime = std::chrono::seconds(5);
  // Maximum delay of a peer report in the network.
  static constexpr duration kMaxReportDelay = std::chrono::milliseconds(300);
  // Counts made since the last write are lost if all processes are killed; at
  // 300 ms, this loss is about the tolerated error for a window of five
  // seconds. The interval grows with the number of instances, since the object
  // contains the counts of each.
  static constexpr duration kSaveInterval = std::chrono::milliseconds(300);
  // Number of windows before the last ended one that a new holder still
  // reports.
  static constexpr std::uint64_t kEarlierWindows = 3;

  deadline CallDeadline() const {
    return deadline::After(state_.clock.Now(), kCallTimeout);
  }

  // The first window that no holder can have found settled by `at`.
  std::uint64_t FirstUnsettled(time_point at) const {
    const duration ended =
        at.time_since_epoch() +
        duration(state_.wall_offset_us.load(std::memory_order_relaxed)) -
        kMinSettleTime + kMaxClockDifference;
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(ended / state_.settings.usage_window, 0));
  }

  // Determines the first window that can't have been reported in an earlier
  // era. An earlier holder of this era has stored it, if there was one.
  // Otherwise it is the first that settled after this process had seen the era,
  // or after `sole_since`, when the last other holder had stopped acting.
  void EstablishStart(time_point sole_since) {
    if (seen_era_ == 0 || start_.era == seen_era_) {
      return;
    }
    start_ =
        checkpoint_.start().era == seen_era_
            ? checkpoint_.start()
            : era_start{seen_era_,
                        FirstUnsettled(std::min(era_seen_at_, sole_since))};
  }
  // Whether final counts of a window may have been sent that neither the store
  // nor this instance knows.
  bool IsInDoubt(std::uint64_t window) const {
    return state_.era.seen() != 0 && !final_.contains(window) &&
           (start_.era != state_.era.seen() || window < start_.first_window);
  }

  // Merges the counts of the other instances, of this one, and those stored by
  // earlier holders.
  usage_counts MergeCounts() const {
    usage_counts counts = peer_reports_.counts();
    counts.Take({state_.settings.name, state_.epoch}, state_.usage.Counts());
    counts.Merge(checkpoint_.stored());
    return counts;
  }

  usage_report MakeReport(std::uint64_t window) const {
    usage_report report;
    report.window = window;
    for (const auto& [workspace, requests] : MergeCounts().Sum(window)) {
      report.requests[workspace] = requests;
    }
    return report;
  }

  bool HasSettled(std::uint64_t window) const {
    const duration window_length = state_.settings.usage_window;
    const auto end_us =
        static_cast<std::int64_t>(window + 1) * window_length.count();
    const duration since(state_.TimeOfDayMicros() - end_us);
    if (since < kMinSettleTime) {
      return false;
    }
    const time_point required_since =
        state_.clock.Now() - since + kMaxReportDelay;
    return since >= kMaxSettleTime ||
           peer_reports_.AllReportedSince(required_since);
  }

  awaitable<void> SaveCounts(std::uint64_t current) {
    const time_point now = state_.clock.Now();
    if (!save_at_.Expired(now)) {
      co_return;
    }
    save_at_ =
        deadline::After(now, kSaveInterval * peer_reports_.IntervalFactor());
    usage_counts counts = MergeCounts();
    counts.RetainWindows(current - kEarlierWindows, current + 1);
    checkpoint_.RetainWindows(current - kEarlierWindows, current + 1);
    // Counts that could not be saved are part of the next write. The kind
    // followers log a store outage.
    co_await checkpoint_.Save(counts, CallDeadline(), start_);
  }

  // The final counts of a window, and where they come from, for the log.
  struct final_report {
    usage_report report;
    std::string_view source;
  };

  // Stores the counts before they are sent, so that a later holder reports the
  // same ones. Returns the stored report, or nothing if the store did not
  // respond.
  awaitable<std::optional<final_report>> StoreOrReadReport(
      std::uint64_t window) {
    if (IsInDoubt(window)) {
      co_return co_await ReadReport(window);
    }
    const std::string name = std::to_string(window);
    const auto known = final_.find(window);
    final_report next = known == final_.end()
                            ? final_report{MakeReport(window), "counted"}
                            : final_report{known->second, "known"};
    const auto created = co_await store_.Create(
        kUsageKind, name, EncodeUsage(next.report), CallDeadline());
    if (!created) {
      co_return co_await ReadReport(window);
    }
    Announce(next.report);
    co_return next;
  }

  // Returns the stored report, or nothing if there is none or the store did not
  // respond. One that is missing of a window in doubt is not read again, since
  // only a holder creates it.
  awaitable<std::optional<final_report>> ReadReport(std::uint64_t window) {
    if (in_doubt_.contains(window)) {
      co_return std::nullopt;
    }
    const auto stored =
        co_await store_.Get(kUsageKind, std::to_string(window), CallDeadline());
    auto report = stored ? DecodeUsage(stored->value) : std::nullopt;
    if (report) {
      Announce(*report);
      co_return final_report{std::move(*report), "stored"};
    }
    if (!stored && stored.error() == store_error::kNotFound &&
        IsInDoubt(window)) {
      in_doubt_.insert(window);
      state_.counters.usage_windows_in_doubt.fetch_add(
          1, std::memory_order_relaxed);
      Log(log_level::kWarning, log_event::kUsageWindowInDoubt,
          {{"window", std::to_string(window)},
           {"first_window", std::to_string(start_.first_window)}});
    }
    co_return std::nullopt;
  }

  // Tells the next holders what is going to be reported. A store that tells no
  // era keeps what it has acknowledged.
  void Announce(const usage_report& report) {
    if (state_.era.seen() == 0) {
      return;
    }
    Remember(report);
    state_.usage_sender.announce(report);
  }

  // Creates one object that an older copy of the store may lack; one in each
  // round, so that these calls don't delay the reports.
  awaitable<void> RestoreOne() {
    if (restore_.empty()) {
      co_return;
    }
    const auto report = final_.find(*restore_.begin());
    if (report != final_.end()) {
      const auto created =
          co_await store_.Create(kUsageKind, std::to_string(report->first),
                                 EncodeUsage(report->second), CallDeadline());
      if (!created && created.error() != store_error::kConflict) {
        co_return;
      }
    }
    restore_.erase(restore_.begin());
  }

  awaitable<void> ReportWindow(std::uint64_t window,
                               const std::function<lease_tenure()>& tenure) {
    const auto found = co_await StoreOrReadReport(window);
    const std::uint64_t number = tenure().fencing;
    if (!found || number == 0) {
      co_return;  // Retried in the next round.
    }
    const usage_report& report = found->report;
    const duty_result result =
        co_await cloud_.ReportUsage(report, number, CallDeadline());
    if (result == duty_result::kDone || result == duty_result::kFenced) {
      reported_.insert(window);
    }
    std::uint64_t total = 0;
    for (const auto& [workspace, requests] : report.requests) {
      total += requests;
    }
    Log(result == duty_result::kDone ? log_level::kInfo : log_level::kWarning,
        log_event::kUsageReported,
        {{"window", std::to_string(window)},
         {"requests", std::to_string(total)},
         {"counts", std::string(found->source)},
         {"fencing", std::to_string(number)},
         {"result", std::string(Name(result))}});
  }

  gateway_state& state_;
  const peer_report_table& peer_reports_;
  Store& store_;
  Cloud& cloud_;
  usage_checkpoint<Store> checkpoint_;
  std::uint64_t loaded_fencing_ = 0;
  deadline save_at_ = deadline(time_point::min());
  std::uint64_t loaded_era_ = 0;
  // The era of the store that was seen last, and when it was first seen.
  std::uint64_t seen_era_ = 0;
  time_point era_seen_at_ = time_point::min();
  era_start start_;
  // Windows in doubt whose final counts the store lacks.
  std::set<std::uint64_t> in_doubt_;
  std::set<std::uint64_t> reported_;
  // The final counts of the latest windows, and those that may have to be
  // stored again.
  std::map<std::uint64_t, usage_report> final_;
  std::set<std::uint64_t> restore_;
};

}  // namespace anvilloom

#endif  // ENTRY_USAGE_REPORTER_H_
