// Defines gateway, an entry instance on the users' platform. It tracks the
// manifest and the upstreams in the store, forwards calls, and competes for the
// duty lease.
#ifndef ENTRY_GATEWAY_H_
#define ENTRY_GATEWAY_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/random.h"
#include "entry/crash_monitor.h"
#include "entry/duty_runner.h"
#include "entry/forwarded_call.h"
#include "entry/gateway_admin.h"
#include "entry/gateway_state.h"
#include "entry/pace_log.h"
#include "entry/peer_reporter.h"
#include "entry/process_limits.h"
#include "entry/rollout_runner.h"
#include "entry/serving_platform.h"
#include "entry/stale_entry_remover.h"
#include "entry/store_tracker.h"
#include "entry/supervised_task.h"
#include "entry/suspect_checkpoint.h"
#include "instances/restore_schedule.h"
#include "instances/stop_schedule.h"
#include "wire/endpoint.h"
#include "wire/http_client.h"
#include "wire/http_server.h"
#include "wire/io_pool.h"

namespace anvilloom {

// Object kind of the instances' own entries in the store.
inline constexpr std::string_view kInstanceKind = "instances";

// Start() and Drain() are called from the thread that created the gateway. All
// other work runs on its control and caller threads.
template <serving_platform Platform>
class gateway {
 public:
  // Throws boost::system::system_error if an address can't be bound.
  explicit gateway(gateway_settings settings)
      : state_(std::move(settings)),
        control_pool_(1),
        caller_pool_(state_.settings.threads),
        identity_(state_.settings.name + "/" +
                  std::to_string(WallClockMicros())),
        store_(control_pool_.context(0).get_executor(),
               state_.settings.store,
               &state_.era),
        cloud_(control_pool_.context(0).get_executor(),
               state_.settings.cloud,
               state_.settings.name),
        reporter_(state_, control_pool_.context(0).get_executor()),
        crashes_(state_, reporter_, control_pool_.context(0).get_executor()),
        duties_(state_, reporter_.peer_reports(), store_, cloud_, identity_),
        departed_(store_, reporter_.peer_reports(), kInstanceKind),
        stored_suspects_(store_, state_.era, crashes_),
        tracker_(state_,
                 store_,
                 reporter_,
                 control_pool_.context(0).get_executor(),
                 [this](const manifest_index& index, bool first) {
                   HandleManifest(index, first);
                 }),
        rollouts_(state_,
                  store_,
                  reporter_,
                  [this] { return duties_.fencing(); }),
        pace_log_(state_),
        forwarder_(state_, clients_, state_.settings.threads),
        admin_(state_),
        admin_server_(control_pool_,
                      state_.settings.admin_listen,
                      AdminLimits({}),
                      admin_),
        ready_server_(control_pool_,
                      state_.settings.ready_listen,
                      AdminLimits({}),
                      admin_),
        caller_server_(MakeClients(caller_pool_),
                       state_.settings.listen,
                       CallerLimits(caller_limits{}),
                       forwarder_) {}

  // Starts the threads and begins to serve. Does not block.
  void Start() {
    state_.load_changed = [this](auto upstream) {
      reporter_.RequestLoad(std::move(upstream));
    };
    state_.upstream_crashed = [this](auto parts, const crash_record& crash) {
      crashes_.ReportCrash(std::move(parts), crash);
    };
    state_.part_answered = [this](auto parts) {
      crashes_.ReportAnswer(std::move(parts));
    };
    state_.part_tried = [this](auto parts) {
      crashes_.ReportTrial(std::move(parts));
    };
    state_.news_after = [this](std::uint64_t through, std::uint64_t version) {
      return tracker_.AnswerNews(through, version);
    };
    state_.usage_sender.announce = [this](const usage_report& report) {
      reporter_.AnnounceFinalUsage(report);
    };
    state_.usage_sender.answer = [this](std::string_view address,
                                        const usage_report& report) {
      reporter_.SendFinalUsage(address, report);
    };
    state_.usage_sender.ask = [this](std::string_view address,
                                     std::span<const std::uint64_t> windows) {
      reporter_.AskForUsage(address, windows);
    };
    LimitClients(caller_server_, state_.settings.process, state_.memory);
    caller_server_.SetLimitsInDoubt(
        [this] { return state_.IsManifestInDoubt(); });
    tracker_.SetFetchAddress(
        WithPort(state_.settings.admin_listen, admin_server_.port()));
    Run("join", [this] { return Join(); });
    Run("manifests", [this] { return FollowManifests(); });
    Run("announcements", [this] { return FollowAnnouncements(); });
    Run("upstreams", [this] { return tracker_.RemoveUpstreams(); });
    Run("confirm", [this] { return tracker_.ConfirmView(); });
    Run("receive", [this] {
      return reporter_.Receive([this](const peer_report& report) {
        tracker_.Take(report);
        crashes_.Apply(report);
        duties_.Take(report);
        rollouts_.Take(report);
      });
    });
    Run("report", [this] {
      return reporter_.Report(
          [this](peer_report& report) { CompleteReport(report); },
          [this](std::string_view name) {
            departed_.MarkDeparted(name, state_.clock.Now());
          });
    });
    Run("pace_log", [this] { return pace_log_.Run(); });
    Run("maintenance", [this] { return MaintainStore(); });
    Run("suspects", [this] { return StoreSuspects(); });
    if (!state_.settings.cloud.empty()) {
      Run("duties", [this] { return duties_.Run(); });
      Run("usage_reports", [this] { return duties_.RunReports(); });
    }
    if (state_.settings.HasRollouts()) {
      Run("orders", [this] { return rollouts_.Follow(); });
      Run("rollouts", [this] { return rollouts_.Run(); });
    }
    caller_pool_.Start();
    control_pool_.Start();
    Log(log_level::kInfo, log_event::kStarted,
        {{"name", state_.settings.name},
         {"domain", state_.settings.failure_domain},
         {"port", std::to_string(caller_server_.port())},
         {"ready_port", std::to_string(ready_server_.port())},
         {"admin_port", std::to_string(admin_server_.port())},
         {"report_address", reporter_.address()},
         {"store", state_.settings.store},
         {"threads", std::to_string(state_.settings.threads)}});
  }

  // Withdraws readiness, serves calls that still arrive, and returns once all
  // calls are answered or the process has to exit. May be called once.
  void Drain() {
    stop_ = PlanStop(state_.settings.stop_limit, state_.clock.Now());
    state_.stop.store(&*stop_, std::memory_order_release);
    state_.draining.store(true, std::memory_order_relaxed);
    Log(log_level::kInfo, log_event::kDraining,
        {{"unfinished", std::to_string(caller_server_.busy())}});
    caller_server_.BeginDrain();
    std::this_thread::sleep_for(
        stop_->accept_until.Remaining(state_.clock.Now()));
    caller_server_.Close();
    AwaitAnswers(stop_->answer_by);
    if (caller_server_.busy() > 0) {
      caller_server_.EndReads();
      EndCalls();
      AwaitAnswers(stop_->exit_by);
    }
    Log(log_level::kInfo, log_event::kStopped,
        {{"unfinished", std::to_string(caller_server_.busy())}});
  }

 private:
  static constexpr std::chrono::milliseconds kDrainCheckInterval{50};
  // Connecting within a region takes a few milliseconds. A slower attempt has
  // lost its SYN packet, which is retransmitted after a second, so another
  // upstream responds sooner.
  static constexpr duration kConnectTimeout = std::chrono::milliseconds(250);
  static constexpr duration kRegisterTimeout = std::chrono::seconds(1);
  static constexpr duration kRegisterRetryDelay = std::chrono::seconds(1);
  static constexpr duration kJoinCheckInterval = std::chrono::milliseconds(5);
  // An entry that is removed, or a list that is stored, a second late has no
  // effect.
  static constexpr duration kMaintenanceInterval = std::chrono::seconds(1);
  // Delay before suspected prompt parts are stored, within which answers clear
  // most of those that are sound, and time until the next write.
  static constexpr duration kStoreSuspectsDelay =
      std::chrono::milliseconds(250);
  static constexpr duration kStoreSuspectsInterval = std::chrono::seconds(1);

  // Sleeps first: Close() and EndReads() take effect on the caller threads a
  // moment later, and may let requests in that have just arrived.
  void AwaitAnswers(deadline until) const {
    do {
      std::this_thread::sleep_for(kDrainCheckInterval);
    } while (caller_server_.busy() > 0 && !until.Expired(state_.clock.Now()));
  }

  void EndCalls() {
    for (std::size_t thread = 0; thread < caller_pool_.size(); ++thread) {
      boost::asio::post(caller_pool_.context(thread),
                        [this, thread] { forwarder_.EndCalls(thread); });
    }
  }

  // Runs a task of the control thread. An unexpected error in one must end
  // neither the process nor the task.
  void Run(std::string_view name, std::function<awaitable<void>()> task) {
    boost::asio::co_spawn(control_pool_.context(0),
                          RunSupervised(name, std::move(task)),
                          boost::asio::detached);
  }

  io_pool& MakeClients(io_pool& pool) {
    http_client_limits limits;
    limits.tcp_keep_alive = true;
    // Upstreams that announce no keep-alive timeout close idle connections
    // after a few seconds.
    limits.idle_timeout = std::chrono::seconds(4);
    limits.connect_timeout = kConnectTimeout;
    for (std::size_t i = 0; i < pool.size(); ++i) {
      clients_.push_back(std::make_unique<http_client>(
          pool.context(i).get_executor(), limits));
    }
    return pool;
  }

  http_server_limits CallerLimits(const caller_limits& configured) const {
    http_server_limits limits;
    limits.header_bytes = configured.header_bytes;
    limits.body_bytes = configured.body_bytes;
    limits.idle_timeout = configured.idle_time;
    // Covers the header and the body, each of which may take the header time.
    limits.read_timeout = configured.header_time * 2;
    limits.connections = state_.settings.process.ClientConnections();
    return limits;
  }

  void CompleteReport(peer_report& report) const {
    report.duty_fencing = duties_.fencing();
    report.final_windows = duties_.FinalWindows();
    report.suspects = crashes_.BlockedReports();
    tracker_.Complete(report);
  }

  void HandleManifest(const manifest_index& index, bool first) {
    if (first) {
      reporter_.ChargeInitialLimits();
      if (!stored_suspects_.loaded()) {
        // The store is likely to respond again.
        Run("load_suspects", [this] { return LoadSuspects(); });
      }
    }
    caller_server_.UpdateLimits(CallerLimits(index.source().limits));
  }

  // Lists the other instances before it starts to serve, so that no limit is
  // granted in full while their shares are unknown. Serves without the list if
  // the first attempt to read it fails.
  awaitable<void> Join() {
    bool listed = co_await Register();
    if (listed) {
      co_await LoadSuspects();
    }
    tried_to_join_ = true;
    while (!listed || !stored_suspects_.loaded()) {
      co_await Pause(kRegisterRetryDelay);
      listed = listed || co_await Register();
      if (listed) {
        co_await LoadSuspects();
      }
    }
  }

  awaitable<void> FollowManifests() {
    co_await AwaitJoinAttempt();
    co_await tracker_.FollowManifests();
  }

  awaitable<void> FollowAnnouncements() {
    co_await AwaitJoinAttempt();
    co_await tracker_.FollowAnnouncements();
  }

  awaitable<void> AwaitJoinAttempt() {
    while (!tried_to_join_) {
      co_await Pause(kJoinCheckInterval);
    }
  }

  awaitable<void> MaintainStore() {
    for (;;) {
      co_await Pause(kMaintenanceInterval);
      crashes_.Sweep();
      co_await departed_.Remove(state_.clock.Now(), duties_.fencing() != 0);
      co_await RestoreEntry();
    }
  }

  // Creates this instance's entry again after the store has come back from an
  // older copy, which may lack it.
  awaitable<void> RestoreEntry() {
    const time_point now = state_.clock.Now();
    const std::uint64_t era = state_.era.seen();
    if (registered_era_ == 0 || registered_era_ == era ||
        state_.draining.load(std::memory_order_relaxed)) {
      co_return;
    }
    if (!entry_schedule_.IsDue(era, reporter_.peer_reports().Members(),
                               thread_random(), now)) {
      co_return;
    }
    const auto created = co_await store_.Create(
        kInstanceKind, state_.settings.name, reporter_.EncodeSelf(),
        deadline::After(now, kRegisterTimeout));
    if (created || created.error() == store_error::kConflict) {
      registered_era_ = era;
    }
  }

  // Reads the parts that were stored before this process started.
  awaitable<void> LoadSuspects() {
    co_await stored_suspects_.Load(
        deadline::After(state_.clock.Now(), kRegisterTimeout));
  }

  // Stores the suspected parts when they change. One instance is enough, since
  // all learn the same. After the store has come back from an older copy, that
  // one may not know what the copy lacks, so all make sure that it is stored.
  awaitable<void> StoreSuspects() {
    for (;;) {
      co_await Pause(kStoreSuspectsDelay);
      const time_point now = state_.clock.Now();
      const deadline until = deadline::After(now, kRegisterTimeout);
      if (stored_suspects_.MayBeLost() &&
          suspects_schedule_.IsDue(state_.era.seen(),
                                   reporter_.peer_reports().Members(),
                                   thread_random(), now)) {
        co_await stored_suspects_.Restore(until);
      } else if (!stored_suspects_.IsSaved() &&
                 reporter_.peer_reports().Rank(now) == 0) {
        co_await stored_suspects_.Save(until);
      } else {
        continue;
      }
      co_await Pause(kStoreSuspectsInterval - kStoreSuspectsDelay);
    }
  }

  // Creates this instance's entry in the store and lists the others. False if
  // the store is unavailable.
  awaitable<bool> Register() {
    const std::string self = reporter_.EncodeSelf();
    const auto until = [this] {
      return deadline::After(state_.clock.Now(), kRegisterTimeout);
    };
    const auto created = co_await store_.Create(
        kInstanceKind, state_.settings.name, self, until());
    if (!created && created.error() != store_error::kConflict) {
      co_return false;
    }
    const std::uint64_t era = state_.era.seen();
    const auto list = co_await store_.List(kInstanceKind, until());
    if (!list) {
      co_return false;
    }
    registered_era_ = era;
    reporter_.AddListedInstances(list->objects);
    co_return true;
  }

  gateway_state state_;
  io_pool control_pool_;
  io_pool caller_pool_;
  std::string identity_;
  // Whether the first attempt to list the other instances has ended.
  bool tried_to_join_ = false;
  typename Platform::store store_;
  typename Platform::cloud cloud_;
  peer_reporter reporter_;
  crash_monitor crashes_;
  duty_runner<typename Platform::store, typename Platform::cloud> duties_;
  stale_entry_remover<typename Platform::store> departed_;
  suspect_checkpoint<typename Platform::store, crash_monitor> stored_suspects_;
  // The era in which the entry of this instance was created.
  std::uint64_t registered_era_ = 0;
  restore_schedule entry_schedule_;
  restore_schedule suspects_schedule_;
  store_tracker<Platform> tracker_;
  rollout_runner<Platform> rollouts_;
  std::vector<std::unique_ptr<http_client>> clients_;
  std::optional<stop_schedule> stop_;
  pace_log pace_log_;
  call_forwarder<typename Platform::codec> forwarder_;
  gateway_admin admin_;
  http_server admin_server_;
  http_server ready_server_;
  http_server caller_server_;
};

}  // namespace anvilloom

#endif  // ENTRY_GATEWAY_H_
