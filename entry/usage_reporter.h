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
      : state_(state), board_(board), store_(store), cloud_(cloud) {}

  // Reports the windows that have ended and whose counts have settled.
  // `fencing` gives the fencing number of the duty lease; 0 once it is lost.
  awaitable<void> Report(const std::function<std::uint64_t()>& fencing) {
    const auto window_us = state_.settings.usage_window.count();
    const auto ended = static_cast<std::uint64_t>(
        (state_.TimeOfDayMicros() - kCountsSettle.count()) / window_us);
    for (std::uint64_t window = ended - kOlderWindows; window < ended;
         ++window) {
      if (!reported_.contains(window)) {
        co_await ReportWindow(window, fencing);
      }
    }
    while (reported_.size() > 2 * kOlderWindows) {
      reported_.erase(reported_.begin());
    }
  }

 private:
  static constexpr duration kCallLimit = std::chrono::milliseconds(1000);
  // After the end of a window its last counts have arrived from all instances.
  static constexpr duration kCountsSettle = std::chrono::milliseconds(1500);
  // The last ended window, and those before that a new holder still reports.
  static constexpr std::uint64_t kOlderWindows = 3;

  deadline CallLimit() const {
    return deadline::After(state_.clock.Now(), kCallLimit);
  }

  usage_report CountWindow(std::uint64_t window) const {
    usage_report report;
    report.window = window;
    for (const usage_count& count : state_.usage.Counts()) {
      if (count.window == window) {
        report.requests[count.workspace] += count.requests;
      }
    }
    for (const auto& [key, requests] : board_.BegunElsewhere()) {
      if (key.first == window) {
        report.requests[key.second] += requests;
      }
    }
    return report;
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
  std::set<std::uint64_t> reported_;
};

}  // namespace anvilloom

#endif  // ENTRY_USAGE_REPORTER_H_
