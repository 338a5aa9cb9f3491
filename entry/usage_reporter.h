// Defines usage_reporter, which reports the usage of each accounting window
// once, with the same counts whoever reports it.
#ifndef ENTRY_USAGE_REPORTER_H_
#define ENTRY_USAGE_REPORTER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "common/log.h"
#include "entry/cloud_duties.h"
#include "entry/gateway_state.h"
#include "entry/usage_checkpoint.h"
#include "entry/usage_record.h"
#include "instances/peer_report.h"
#include "wire/object_store.h"

namespace anvilloom {

// Kind of the usage reports that were decided on. The name is the window.
inline constexpr std::string_view kUsageKind = "usage-reports";

// Belongs to the control thread.
template <object_store Store, cloud_duties Cloud>
class usage_reporter {
 public:
  usage_reporter(gateway_state& state,
                 const report_board& board,
                 Store& store,
                 Cloud& cloud)
      : state_(state),
        board_(board),
        store_(store),
        cloud_(cloud),
        checkpoint_(store) {}

  // Reports the windows that have ended and whose counts have settled, and
  // stores the counts of the others. `fencing` gives the fencing number of the
  // duty lease; 0 once it is lost.
  awaitable<void> Report(const std::function<std::uint64_t()>& fencing) {
    if (acts_under_ != fencing()) {
      acts_under_ = fencing();
      checkpoint_.Forget();
    }
    // Without what earlier holders stored, a window might be reported short.
    if (!co_await checkpoint_.Load(CallLimit())) {
      co_return;
    }
    const std::uint64_t current = state_.CurrentWindow();
    for (std::uint64_t window = current - kOlderWindows - 1; window < current;
         ++window) {
      if (!reported_.contains(window) && HasSettled(window)) {
        co_await ReportWindow(window, fencing);
      }
    }
    while (reported_.size() > 2 * kOlderWindows) {
      reported_.erase(reported_.begin());
    }
    co_await SaveCounts(current);
  }

 private:
  static constexpr duration kCallLimit = std::chrono::milliseconds(1000);
  // After the end of a window its last counts have arrived from all instances
  // that can be heard.
  static constexpr duration kCountsSettle = std::chrono::milliseconds(1500);
  // An instance that is cut off or stands still brings its counts when it is
  // heard again. It is waited for so long; the report is due ten seconds after
  // the window, and another holder may have to make it.
  static constexpr duration kLongestSettle = std::chrono::seconds(5);
  // How long a report of the counts may be on its way.
  static constexpr duration kReportLag = std::chrono::milliseconds(300);
  // What is counted between two writes is lost if all processes are killed; at
  // 300 ms that is about the tolerance for a window of five seconds. Grows with
  // the number of instances, since the counts of each are in the object.
  static constexpr duration kSaveInterval = std::chrono::milliseconds(300);
  // The last ended window, and those before that a new holder still reports.
  static constexpr std::uint64_t kOlderWindows = 3;

  deadline CallLimit() const {
    return deadline::After(state_.clock.Now(), kCallLimit);
  }

  // Everything that is known: told by the others, counted here, and stored by
  // earlier holders.
  usage_counts CountAll() const {
    usage_counts counts = board_.counts();
    counts.Take({state_.settings.name, state_.epoch}, state_.usage.Counts());
    counts.Merge(checkpoint_.stored());
    return counts;
  }

  usage_report CountWindow(std::uint64_t window) const {
    usage_report report;
    report.window = window;
    for (const auto& [workspace, requests] : CountAll().Sum(window)) {
      report.requests[workspace] = requests;
    }
    return report;
  }

  bool HasSettled(std::uint64_t window) const {
    const duration window_length = state_.settings.usage_window;
    const auto end_us =
        static_cast<std::int64_t>(window + 1) * window_length.count();
    const duration since(state_.TimeOfDayMicros() - end_us);
    if (since < kCountsSettle) {
      return false;
    }
    const time_point told = state_.clock.Now() - since + kReportLag;
    return since >= kLongestSettle || board_.HeardAllSince(told);
  }

  awaitable<void> SaveCounts(std::uint64_t current) {
    const time_point now = state_.clock.Now();
    if (!save_at_.Expired(now)) {
      co_return;
    }
    save_at_ = deadline::After(now, kSaveInterval * board_.IntervalFactor());
    usage_counts counts = CountAll();
    counts.KeepOnly(current - kOlderWindows, current + 1);
    // What could not be saved is saved with the next counts. The followers log
    // an outage of the store.
    co_await checkpoint_.Save(counts, CallLimit());
  }

  // The counts are stored before they are sent: whoever reports the window
  // later sends the same ones. Nothing if the store did not say.
  awaitable<std::optional<usage_report>> Decide(std::uint64_t window) {
    const std::string name = std::to_string(window);
    const usage_report counted = CountWindow(window);
    const auto created = co_await store_.Create(
        kUsageKind, name, EncodeUsage(counted), CallLimit());
    if (created) {
      co_return counted;
    }
    const auto stored = co_await store_.Get(kUsageKind, name, CallLimit());
    co_return stored ? DecodeUsage(stored->value) : std::nullopt;
  }

  awaitable<void> ReportWindow(std::uint64_t window,
                               const std::function<std::uint64_t()>& fencing) {
    const auto report = co_await Decide(window);
    const std::uint64_t number = fencing();
    if (!report || number == 0) {
      co_return;  // The next round tries again.
    }
    const duty_result result =
        co_await cloud_.ReportUsage(*report, number, CallLimit());
    if (result == duty_result::kDone || result == duty_result::kFenced) {
      reported_.insert(window);
    }
    std::uint64_t total = 0;
    for (const auto& [workspace, requests] : report->requests) {
      total += requests;
    }
    Log(result == duty_result::kDone ? log_level::kInfo : log_level::kWarning,
        log_event::kUsageReported,
        {{"window", std::to_string(window)},
         {"requests", std::to_string(total)},
         {"fencing", std::to_string(number)},
         {"result", std::string(Name(result))}});
  }

  gateway_state& state_;
  const report_board& board_;
  Store& store_;
  Cloud& cloud_;
  usage_checkpoint<Store> checkpoint_;
  std::uint64_t acts_under_ = 0;
  deadline save_at_ = deadline(time_point::min());
  std::set<std::uint64_t> reported_;
};

}  // namespace anvilloom

#endif  // ENTRY_USAGE_REPORTER_H_
