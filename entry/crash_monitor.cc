#include "entry/crash_monitor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "common/log.h"
#include "wire/pause.h"

namespace anvilloom {

void crash_monitor::ReportCrash(std::vector<std::uint64_t> parts,
                                crash_record crash) {
  boost::asio::post(executor_, [this, parts = std::move(parts), crash] {
    suspects_.RecordCrash(parts, crash);
    HandleChange();
  });
}

void crash_monitor::ReportAnswer(std::vector<std::uint64_t> parts) {
  boost::asio::post(executor_, [this, parts = std::move(parts)] {
    suspects_.RecordAnswer(parts, state_.clock.Now());
    HandleChange();
  });
}

void crash_monitor::ReportTrial(std::vector<std::uint64_t> parts) {
  boost::asio::post(executor_, [this, parts = std::move(parts)] {
    const time_point now = state_.clock.Now();
    suspects_.RecordTrial(parts, now);
    // The other instances must not try the part at the same time.
    reporter_.SendSuspects(suspects_.TakeReports(now));
    HandleChange();
  });
}

void crash_monitor::Apply(const peer_report& report) {
  if (report.suspects.empty()) {
    return;
  }
  const time_point now = state_.clock.Now();
  for (const suspect_report& each : report.suspects) {
    suspects_.Merge(each, now);
  }
  HandleChange();
}

void crash_monitor::Sweep() {
  suspects_.Sweep(state_.clock.Now());
  PublishView();
}

void crash_monitor::Restore(const suspect_evidence& stored) {
  suspects_.Restore(stored, state_.clock.Now());
  HandleChange();
}

std::vector<suspect_report> crash_monitor::BlockedReports() const {
  return suspects_.BlockedReports(state_.clock.Now());
}

suspect_evidence crash_monitor::Evidence() const {
  return suspects_.Evidence(state_.clock.Now());
}

void crash_monitor::HandleChange() {
  // Suspicions may wait for the next round; what is refused may not.
  if (LogVerdicts()) {
    PublishView();
  }
  if (!running_) {
    running_ = true;
    boost::asio::co_spawn(executor_, RunRounds(), boost::asio::detached);
  }
}

void crash_monitor::PublishView() {
  const std::size_t rank = reporter_.peer_reports().Rank(state_.clock.Now());
  if (auto view = suspects_.TakeView(rank)) {
    state_.suspects.Publish(std::move(view));
  }
}

bool crash_monitor::LogVerdicts() {
  const auto verdicts = suspects_.TakeVerdicts();
  for (const crash_suspects::verdict& each : verdicts) {
    if (each.blocked) {
      Log(log_level::kWarning, log_event::kPromptPartBlocked,
          {{"part", FormatHash(each.part)},
           {"parts", std::to_string(each.parts)},
           {"crashes", std::to_string(each.crashes)},
           {"calls", std::to_string(each.calls)}});
    } else {
      Log(log_level::kInfo, log_event::kPromptPartCleared,
          {{"part", FormatHash(each.part)},
           {"parts", std::to_string(each.parts)}});
    }
  }
  return !verdicts.empty();
}

awaitable<void> crash_monitor::RunRounds() {
  do {
    reporter_.SendSuspects(suspects_.TakeReports(state_.clock.Now()));
    PublishView();
    co_await Pause(kRoundInterval);
  } while (suspects_.NeedsRounds());
  running_ = false;
}

}  // namespace anvilloom
