#include "entry/peer_reporter.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <memory>
#include <utility>

#include "common/hash.h"
#include "common/log.h"
#include "common/random.h"
#include "instances/store_gossip.h"
#include "wire/announcement_check.h"
#include "wire/endpoint.h"
#include "wire/json_text.h"
#include "wire/pause.h"
#include "wire/report_codec.h"
#include "wire/wall_clock.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

// All instances together may save up the constant part of the retry budget
// divided by this. The rest is reserved for retries that span two windows.
constexpr std::uint32_t kSavedRetriesDivisor = 2;
// Number of instances that exchange their load on an upstream immediately. If
// there are fewer instances, all of them do.
constexpr std::size_t kLoadReportPeers = 7;
// Time after startup in which reports are sent more often, so that instances
// that restart together learn each other's grants sooner.
constexpr duration kStartupPeriod = peer_report_table::kSettle;
// Delay between two bursts of queued messages; see paced_queue::kBurstBytes.
constexpr duration kBurstInterval = std::chrono::milliseconds(20);
// Reports may be lost, so grants are sent again at this interval.
constexpr duration kSendAllInterval = std::chrono::seconds(2);
// Queued messages that have waited for longer are logged. What they say is then
// older than the interval between two reports of a small fleet.
constexpr duration kLoggedWait = std::chrono::milliseconds(500);

}  // namespace

peer_reporter::peer_reporter(gateway_state& state,
                             const boost::asio::any_io_executor& executor)
    : state_(state),
      executor_(executor),
      socket_(executor, state.settings.report_listen),
      address_(WithPort(state.settings.report_listen, socket_.port())),
      peer_reports_(state.settings.name),
      schedule_(deadline::After(state.clock.Now(), kStartupPeriod),
                Hash64(state.settings.name, state.epoch)) {}

std::string peer_reporter::EncodeSelf() const {
  return json::serialize(
      json::object{{"address", address_},
                   {"failure_domain", state_.settings.failure_domain}});
}

void peer_reporter::AddListedInstances(std::span<const stored_object> entries) {
  for (const stored_object& entry : entries) {
    const auto parsed = ParseJson(entry.value);
    const auto address =
        parsed ? StringMember(*parsed, "address") : std::nullopt;
    // Another program may have left an entry here; it is no instance.
    if (address && ParseEndpoint(*address) && IsEntryName(entry.name)) {
      peer_reports_.Expect(entry.name, *address, state_.clock.Now());
    }
  }
}

awaitable<void> peer_reporter::Receive(
    std::function<void(const peer_report&)> on_report) {
  for (;;) {
    const std::string_view message = co_await socket_.Receive();
    if (const auto report = DecodePeerReport(message)) {
      ProcessReport(*report);
      on_report(*report);
    }
  }
}

void peer_reporter::ProcessReport(const peer_report& report) {
  const time_point now = state_.clock.Now();
  if (report.content == report_content::kLoad) {
    peer_reports_.Take(
        report, now,
        {[](const peer_report_table::new_grants&) {}, [](duration) {}});
    ApplyRemoteLoads(peer_reports_.PeerUpstreamLoad(now));
    return;
  }
  if (report.content != report_content::kWhole) {
    return;
  }
  if (!peer_reports_.HasReported(report.name) &&
      report.name != state_.settings.name) {
    Log(log_level::kInfo, log_event::kPeerJoined,
        {{"peer", report.name}, {"address", report.address}});
  }
  const auto view = state_.View();
  limits_.TakeReport(report, Limits(*view), now);
}

awaitable<void> peer_reporter::Report(
    std::function<void(peer_report&)> complete,
    std::function<void(std::string_view)> on_removed) {
  complete_ = std::move(complete);
  for (;;) {
    const time_point now = state_.clock.Now();
    peer_reports_.SetInterval(SteadyInterval());
    UpdateFreshLoadFlags(now);
    state_.wall_offset_us.store(
        peer_reports_.MedianWallOffset(state_.OwnWallOffset(), now),
        std::memory_order_relaxed);
    for (const std::string& name : peer_reports_.Sweep(now)) {
      Log(log_level::kInfo, log_event::kPeerGone, {{"peer", name}});
      on_removed(name);
    }
    const std::uint64_t window = state_.CurrentWindow();
    // The clocks of other instances may be slightly ahead.
    peer_reports_.KeepCounts(window - usage_ledger::kKeptWindows, window + 1);
    ChargeUnaccounted(now);
    DivideRetryBudget();
    const work_by_upstream loads = peer_reports_.PeerUpstreamLoad(now);
    ApplyRemoteLoads(loads);
    LearnFromLoads(loads, now);
    UpdateProfiles();
    Send();
    LogBacklog();
    co_await Pause(schedule_.NextPause(StartupInterval(), SteadyInterval(),
                                       state_.clock.Now()));
  }
}

void peer_reporter::LogBacklog() {
  const std::uint64_t total = socket_.dropped() + queue_.dropped();
  state_.counters.dropped_reports.store(total, std::memory_order_relaxed);
  const duration wait = queue_.TakeLongestWait();
  state_.counters.report_wait_us.store(static_cast<std::uint64_t>(wait.count()),
                                       std::memory_order_relaxed);
  if (wait >= kLoggedWait) {
    Log(log_level::kWarning, log_event::kReportsDelayed,
        {{"waited_us", std::to_string(wait.count())},
         {"queued", std::to_string(queue_.size())}});
  }
  if (total != logged_dropped_) {
    Log(log_level::kWarning, log_event::kReportsDropped,
        {{"count", std::to_string(total - logged_dropped_)},
         {"total", std::to_string(total)}});
    logged_dropped_ = total;
  }
}

peer_report peer_reporter::MakeHeader() const {
  peer_report report;
  report.name = state_.settings.name;
  report.epoch = state_.epoch;
  report.address = address_;
  return report;
}

void peer_reporter::RequestLoad(
    std::shared_ptr<const pooled_upstream> upstream) {
  if (upstream->has_fresh_load()) {
    boost::asio::post(executor_, [this, upstream = std::move(upstream)] {
      SendLoad(*upstream);
    });
  }
}

void peer_reporter::SendLoad(const pooled_upstream& upstream) {
  peer_report report = MakeHeader();
  report.sequence = ++sequence_;
  report.content = report_content::kLoad;
  report.sent.push_back(upstream.outstanding());
  const std::string message = EncodePeerReport(report);
  for (const std::string& address : peer_reports_.LoadReportPeers(
           upstream.hash(), kLoadReportPeers, state_.clock.Now())) {
    socket_.Send(address, message);
  }
}

void peer_reporter::UpdateFreshLoadFlags(time_point now) {
  const auto view = state_.View();
  for (const auto& [service, pool] : view->pools) {
    for (const auto& upstream : pool.members) {
      upstream->SetHasFreshLoad(
          !peer_reports_
               .LoadReportPeers(upstream->hash(), kLoadReportPeers, now)
               .empty());
    }
  }
}

void peer_reporter::ComposeSent(const serving_view& view,
                                peer_report& report) const {
  for (const auto& [service, pool] : view.pools) {
    for (const auto& upstream : pool.members) {
      const sent_work own = upstream->outstanding();
      if (own.running > 0 || own.paced_answers > 0) {
        report.sent.push_back(own);
      }
    }
  }
}

void peer_reporter::Spread(store_news news) {
  SendToSome(EncodeNews(std::move(news)));
}

void peer_reporter::SendToSome(std::string_view message) {
  split_mix random(thread_random().Next());
  for (const std::string& address : peer_reports_.DrawRecipients(
           store_gossip::Fanout(peer_reports_.Members()), random,
           state_.clock.Now())) {
    socket_.Send(address, message);
  }
}

void peer_reporter::SendNews(std::string_view address, store_news news) {
  socket_.Send(address, EncodeNews(std::move(news)));
}

void peer_reporter::AskForNews(std::string_view address, time_point asked_at) {
  peer_report report = MakeHeader();
  report.content = report_content::kNewsQuestion;
  report.asked_at = asked_at;
  socket_.Send(address, EncodePeerReport(report));
}

peer_report peer_reporter::MakeFinalUsage(const usage_report& usage) const {
  peer_report report = MakeHeader();
  report.content = report_content::kFinalUsage;
  report.final_windows.push_back(usage.window);
  for (const auto& [workspace, requests] : usage.requests) {
    report.begun.push_back({usage.window, workspace, requests});
  }
  return report;
}

void peer_reporter::AnnounceFinalUsage(const usage_report& usage) {
  SendToSuccessors(MakeFinalUsage(usage));
}

void peer_reporter::AskForRollouts() {
  peer_report report = MakeHeader();
  report.content = report_content::kRolloutQuestion;
  SendToSuccessors(report);
}

void peer_reporter::SendToSuccessors(const peer_report& report) {
  const std::string message = EncodePeerReport(report);
  for (const auto& each : peer_reports_.Recipients(state_.clock.Now())) {
    if (each.needs_usage) {
      socket_.Send(each.address, message);
    }
  }
}

void peer_reporter::SendFinalUsage(std::string_view address,
                                   const usage_report& usage) {
  socket_.Send(address, EncodePeerReport(MakeFinalUsage(usage)));
}

void peer_reporter::AskForUsage(std::string_view address,
                                std::span<const std::uint64_t> windows) {
  peer_report report = MakeHeader();
  report.content = report_content::kUsageQuestion;
  report.final_windows.assign(windows.begin(), windows.end());
  socket_.Send(address, EncodePeerReport(report));
}

std::string peer_reporter::EncodeNews(store_news news) const {
  peer_report report = MakeHeader();
  report.content = report_content::kNews;
  report.news = std::move(news);
  return EncodePeerReport(report);
}

void peer_reporter::SendSuspects(std::span<const suspect_report> suspects) {
  if (suspects.empty()) {
    return;
  }
  peer_report report = MakeHeader();
  report.content = report_content::kSuspects;
  report.suspects.assign(suspects.begin(), suspects.end());
  SendToSome(EncodePeerReport(report));
}

void peer_reporter::SendRollouts(std::span<const rollout_report> rollouts,
                                 std::uint64_t duty_fencing,
                                 std::string_view address) {
  for (const rollout_report& each : rollouts) {
    peer_report report = MakeHeader();
    report.content = report_content::kRollouts;
    report.duty_fencing = duty_fencing;
    report.rollouts.push_back(each);
    const std::string message = EncodePeerReport(report);
    if (address.empty()) {
      SendToSome(message);
    } else {
      socket_.Send(std::string(address), message);
    }
  }
}

void peer_reporter::BeginSending() {
  if (sending_ || queue_.empty()) {
    return;
  }
  sending_ = true;
  boost::asio::co_spawn(executor_, SendQueued(), boost::asio::detached);
}

awaitable<void> peer_reporter::SendQueued() {
  for (;;) {
    queue_.TakeBurst(state_.clock.Now(),
                     [this](std::string_view address, std::string_view text) {
                       socket_.Send(address, text);
                     });
    state_.counters.queued_reports.store(queue_.size(),
                                         std::memory_order_relaxed);
    if (queue_.empty()) {
      break;
    }
    co_await Pause(kBurstInterval);
  }
  sending_ = false;
}

void peer_reporter::Send() {
  peer_report report = ComposeReport();
  complete_(report);
  report.begun = state_.usage.Counts();
  const auto with_usage =
      std::make_shared<const std::string>(EncodePeerReport(report));
  report.begun.clear();
  report.final_windows.clear();
  const auto without_usage =
      std::make_shared<const std::string>(EncodePeerReport(report));
  const time_point now = state_.clock.Now();
  for (const auto& each : peer_reports_.Recipients(now)) {
    // Any other instance may become the next holder of the duty lease, and a
    // leaving instance can't send its usage to that one later.
    const bool needs_usage = each.needs_usage || report.leaving;
    queue_.Push(each.address, needs_usage ? with_usage : without_usage, now);
  }
  BeginSending();
}

duration peer_reporter::Interval() const {
  return schedule_.IsStartingUp(state_.clock.Now()) ? StartupInterval()
                                                    : SteadyInterval();
}

duration peer_reporter::StartupInterval() const {
  return state_.settings.report_interval *
         peer_reports_.StartupIntervalFactor();
}

duration peer_reporter::SteadyInterval() const {
  return state_.settings.report_interval * peer_reports_.IntervalFactor();
}

void peer_reporter::ComposeGranted(const serving_view& view,
                                   peer_report& report) {
  const time_point now = state_.clock.Now();
  report.has_refused = true;
  const bool all = send_all_at_.Expired(now);
  if (all) {
    send_all_at_ = deadline::After(now, kSendAllInterval);
  }
  for (const auto& [workspace, allowance] : view.rate_limiters) {
    granted_units& sent = sent_units_[workspace];
    const granted_units units{workspace, allowance->admitted(),
                              allowance->refused()};
    allowance->RecordReport(units.units, {peer_reports_.Members(), Interval()},
                            split_mix(thread_random().Next()).NextUnit(), now);
    if (all || units != sent) {
      sent = units;
      report.granted.push_back(units);
    }
  }
}

peer_report peer_reporter::ComposeReport() {
  peer_report report = MakeHeader();
  report.sequence = ++sequence_;
  report.wall_us = static_cast<std::uint64_t>(WallClockMicros());
  report.leaving = state_.draining.load(std::memory_order_relaxed);
  const auto view = state_.View();
  ComposeGranted(*view, report);
  for (const auto& [service, pool] : view->pools) {
    report.read.push_back(
        {service, pool.stats->read_tokens.load(std::memory_order_relaxed),
         pool.stats->profile.own()});
  }
  ComposeSent(*view, report);
  return report;
}

void peer_reporter::ChargeUnaccounted(time_point now) {
  const auto view = state_.View();
  state_.unaccounted.store(
      static_cast<std::uint32_t>(limits_.ChargeUnaccounted(Limits(*view), now)),
      std::memory_order_relaxed);
}

void peer_reporter::ChargeInitialLimits() {
  const auto view = state_.View();
  limits_.ChargeInitially(Limits(*view), Interval(), state_.clock.Now());
}

std::vector<shared_limit> peer_reporter::Limits(const serving_view& view) {
  std::vector<shared_limit> limits;
  if (!view.manifest) {
    return limits;
  }
  for (const auto& workspace : view.manifest->source().workspaces) {
    if (distributed_rate_limiter* bucket =
            view.FindRateLimiter(workspace.name)) {
      limits.push_back({workspace.name, RateLimitOf(workspace), bucket});
    }
  }
  return limits;
}

void peer_reporter::DivideRetryBudget() {
  const auto saved_retries = static_cast<std::uint32_t>(
      state_.settings.retry_extra / kSavedRetriesDivisor /
      static_cast<double>(peer_reports_.Members()));
  const auto view = state_.View();
  for (const auto& [service, pool] : view->pools) {
    pool.stats->retries.SetMaxBalance(saved_retries);
  }
}

void peer_reporter::UpdateProfiles() {
  const auto view = state_.View();
  for (const auto& [service, pool] : view->pools) {
    if (pool.model) {
      pool.stats->profile.Update(peer_reports_.PeerProfiles(service));
    }
  }
}

void peer_reporter::ApplyRemoteLoads(const work_by_upstream& loads) {
  const auto view = state_.View();
  for (const auto& [service, pool] : view->pools) {
    for (const auto& upstream : pool.members) {
      const auto found = loads.find(upstream->hash());
      if (found == loads.end()) {
        upstream->SetPeerLoad(0, 0);
      } else {
        upstream->SetPeerLoad(found->second.running,
                              found->second.unread_tokens);
      }
    }
  }
}

void peer_reporter::LearnFromLoads(const work_by_upstream& loads,
                                   time_point now) {
  const auto view = state_.View();
  for (const auto& [service, pool] : view->pools) {
    for (const auto& upstream : pool.members) {
      upstream->AveragePeerLoad(now);
      const auto found = loads.find(upstream->hash());
      if (found != loads.end()) {
        upstream->RecordPeerAnswers(found->second, now);
      }
    }
  }
}

}  // namespace anvilloom
