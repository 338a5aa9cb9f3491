// Defines crash_monitor, which collects what the caller threads and the other
// instances see of crashing upstreams, and publishes the prompt parts that must
// not be sent.
#ifndef ENTRY_CRASH_MONITOR_H_
#define ENTRY_CRASH_MONITOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <vector>

#include "entry/gateway_state.h"
#include "entry/peer_reporter.h"
#include "links/crash_suspects.h"

namespace anvilloom {

// Used on the control thread; not thread-safe except where noted.
class crash_monitor {
 public:
  crash_monitor(gateway_state& state,
                peer_reporter& reporter,
                const boost::asio::any_io_executor& executor)
      : state_(state), reporter_(reporter), executor_(executor) {}

  // Records that an upstream ended before it had answered a call with these
  // parts. Thread-safe.
  void ReportCrash(std::vector<std::uint64_t> parts, crash_record crash);
  // Records an answer to a call with these parts. Thread-safe.
  void ReportAnswer(std::vector<std::uint64_t> parts);
  // Records that a call with these parts tries those that are blocked.
  // Thread-safe.
  void ReportTrial(std::vector<std::uint64_t> parts);
  // Applies the report of another instance.
  void Apply(const peer_report& report);
  // Forgets what no longer matters. Call at intervals.
  void Sweep();
  // Applies what was stored.
  void Restore(const suspect_evidence& stored);
  // The parts that an instance which has just started must know.
  std::vector<suspect_report> BlockedReports() const;
  // What to store for the case that all instances are lost, and a number that
  // changes with it.
  suspect_evidence Evidence() const;
  std::uint64_t stored_version() const { return suspects_.stored_version(); }

 private:
  // Delay between two rounds of reports. Bounds the number of datagrams while
  // one upstream after the other ends.
  static constexpr duration kRoundInterval = std::chrono::milliseconds(100);

  // Publishes changed verdicts and starts the rounds unless they are running.
  void HandleChange();
  void PublishView();
  // Returns whether a verdict has changed.
  bool LogVerdicts();
  // Sends reports and looks after the trials until nothing is left to do.
  awaitable<void> RunRounds();

  gateway_state& state_;
  peer_reporter& reporter_;
  boost::asio::any_io_executor executor_;
  crash_suspects suspects_;
  bool running_ = false;
};

}  // namespace anvilloom

#endif  // ENTRY_CRASH_MONITOR_H_
