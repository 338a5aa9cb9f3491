// Defines gateway, an entry instance on the users' platform: it follows the
// manifest and the upstreams in the store, forwards calls, and takes its turn
// with the duties.
#ifndef ENTRY_GATEWAY_H_
#define ENTRY_GATEWAY_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/announced_upstreams.h"
#include "entry/departed_entries.h"
#include "entry/duty_runner.h"
#include "entry/forwarded_call.h"
#include "entry/gateway_admin.h"
#include "entry/gateway_state.h"
#include "entry/kind_follower.h"
#include "entry/peer_reporter.h"
#include "instances/digest_comparison.h"
#include "instances/watch_duty.h"
#include "wire/http_client.h"
#include "wire/http_server.h"
#include "wire/io_pool.h"

namespace anvilloom {

// What a gateway runs on.
template <typename T>
concept serving_platform = object_store<typename T::store> &&
    cloud_duties<typename T::cloud> && call_codec<typename T::codec> &&
    requires(std::string_view text) {
  { T::DecodeManifest(text) } -> std::same_as<std::optional<manifest>>;
  {
    T::DecodeUpstream(text, text)
    } -> std::same_as<std::optional<upstream_announcement>>;
  { T::kManifestKind } -> std::convertible_to<std::string_view>;
  { T::kManifestName } -> std::convertible_to<std::string_view>;
  { T::kUpstreamKind } -> std::convertible_to<std::string_view>;
};

// Kind under which the instances list themselves.
inline constexpr std::string_view kInstanceKind = "instances";

// The calling thread becomes the control thread in Run().
template <serving_platform Platform>
class gateway {
 public:
  // Throws boost::system::system_error if an address can't be bound.
  explicit gateway(gateway_settings settings)
      : state_(std::move(settings)),
        control_(1),
        callers_(state_.settings.threads),
        identity_(state_.settings.name + "/" +
                  std::to_string(WallClockMicros())),
        store_(control_.context(0).get_executor(), state_.settings.store),
        cloud_(control_.context(0).get_executor(),
               state_.settings.cloud,
               state_.settings.name),
        reporter_(state_, control_.context(0).get_executor()),
        duties_(state_, reporter_.board(), store_, cloud_, identity_),
        departed_(store_, reporter_.board(), kInstanceKind),
        upstreams_(builder_, [this] { PublishView(); }),
        manifests_(store_, Platform::kManifestKind, ManifestCallbacks()),
        announcements_(store_, Platform::kUpstreamKind, UpstreamCallbacks()),
        forwarder_(state_, clients_),
        admin_(state_),
        admin_server_(control_, state_.settings.admin_listen, {}, admin_),
        ready_server_(control_, state_.settings.ready_listen, {}, admin_),
        caller_server_(MakeClients(callers_),
                       state_.settings.listen,
                       CallerLimits(caller_limits{}),
                       forwarder_) {}

  // Serves until `stop` says so and the calls in progress have ended.
  void Start() {
    state_.load_changed = [this](auto upstream) {
      reporter_.RequestLoad(std::move(upstream));
    };
    Spawn(Join());
    Spawn(upstreams_.Run());
    Spawn(reporter_.Receive(
        [this](const peer_report& report) { TakeChanges(report); }));
    Spawn(reporter_.Report(
        [this](peer_report& report) { CompleteReport(report); },
        [this](std::string_view name) {
          departed_.Note(name, state_.clock.Now());
        }));
    Spawn(RemoveDeparted());
    Spawn(Verify());
    if (!state_.settings.cloud.empty()) {
      Spawn(duties_.Run());
      Spawn(duties_.RunReports());
    }
    callers_.Start();
    control_.Start();
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

  // Withdraws readiness, serves what still arrives, and returns once nothing is
  // left or the time is over.
  void Drain() {
    const deadline until = deadline::After(
        state_.clock.Now(), state_.settings.stop_limit - kStopMargin);
    state_.draining.store(true, std::memory_order_relaxed);
    Log(log_level::kInfo, log_event::kDraining,
        {{"unfinished", std::to_string(state_.unfinished.load())}});
    caller_server_.BeginDrain();
    std::this_thread::sleep_for(kReadinessSeen);
    caller_server_.Close();
    while (state_.unfinished.load() > 0 && !until.Expired(state_.clock.Now())) {
      std::this_thread::sleep_for(kDrainCheck);
    }
    Log(log_level::kInfo, log_event::kStopped,
        {{"unfinished", std::to_string(state_.unfinished.load())}});
  }

 private:
  // The balancer asks once a second and takes an instance out after two misses.
  static constexpr std::chrono::milliseconds kReadinessSeen{2'500};
  static constexpr std::chrono::milliseconds kDrainCheck{50};
  // Before the process is killed, it ends by itself.
  static constexpr duration kStopMargin = std::chrono::milliseconds(500);
  // A connection within a region takes some milliseconds. One that takes longer
  // has lost its first packet, which is sent again after a second: another
  // upstream answers sooner.
  static constexpr duration kConnectLimit = std::chrono::milliseconds(250);
  static constexpr duration kRegisterCall = std::chrono::seconds(1);
  static constexpr duration kRegisterPause = std::chrono::seconds(1);
  // Entries of instances that are gone do no harm for a second more.
  static constexpr duration kDepartedPause = std::chrono::seconds(1);
  // Descriptors for listeners, upstreams and the store.
  static constexpr std::size_t kOwnDescriptors = 700;

  void Spawn(awaitable<void> task) {
    boost::asio::co_spawn(control_.context(0), std::move(task),
                          boost::asio::detached);
  }

  follower_callbacks ManifestCallbacks() {
    return {
        .on_list = [this](const object_list& list) { TakeManifests(list); },
        .on_event =
            [this](const object_event& event) {
              TakeManifest(event);
              return true;
            },
        .on_events_end = [] {},
        .on_state = [this](bool reachable) { NoteManifestStore(reachable); },
        .active = [this] { return Watches(); }};
  }

  follower_callbacks UpstreamCallbacks() {
    return {.on_list = [this](const object_list& list) { TakeUpstreams(list); },
            .on_event =
                [this](const object_event& event) {
                  TakeUpstream(event);
                  return true;
                },
            .on_events_end = [this] { RelayChanges(); },
            .on_state =
                [this](bool reachable) {
                  upstreams_.NoteStore(reachable, state_.clock.Now());
                },
            .active = [this] { return Watches(); }};
  }

  io_pool& MakeClients(io_pool& pool) {
    http_client_limits limits;
    limits.probe_silent = true;
    // Upstreams that do not say how long they keep a connection close it after
    // some seconds.
    limits.idle_limit = std::chrono::seconds(4);
    limits.connect_limit = kConnectLimit;
    for (std::size_t i = 0; i < pool.size(); ++i) {
      clients_.push_back(std::make_unique<http_client>(
          pool.context(i).get_executor(), limits));
    }
    return pool;
  }

  http_server_limits CallerLimits(const caller_limits& stated) const {
    http_server_limits limits;
    limits.header_bytes = stated.header_bytes;
    limits.body_bytes = stated.body_bytes;
    limits.idle_limit = stated.idle_time;
    // The body follows the header within the same time again.
    limits.read_limit = stated.header_time * 2;
    limits.connections = state_.settings.descriptors > 2 * kOwnDescriptors
                             ? state_.settings.descriptors - kOwnDescriptors
                             : state_.settings.descriptors / 2;
    return limits;
  }

  void PublishView() { state_.Publish(builder_.Build()); }

  void CompleteReport(peer_report& report) {
    const time_point now = state_.clock.Now();
    report.duty_fencing = duties_.fencing();
    report.manifest_version = ManifestVersion();
    report.upstream_digest = upstreams_.digest();
    report.verified = !verified_until_.Expired(now);
    report.watching = announcements_.watching();
    RelayAgain();
  }

  std::uint64_t ManifestVersion() const {
    return builder_.manifest() == nullptr ? 0 : builder_.manifest()->version();
  }

  bool Watches() {
    const time_point now = state_.clock.Now();
    const report_board& board = reporter_.board();
    return watch_duty_.MustWatch(board.Rank(now), board.WatchersBefore(now),
                                 now);
  }

  // Tells the others of the changes that a watch or a comparison brought, and
  // keeps them to be sent again.
  void RelayChanges() {
    if (unrelayed_.empty()) {
      return;
    }
    reporter_.Relay(unrelayed_);
    for (upstream_change& change : unrelayed_) {
      recent_.push_back({kRelayRepeats, std::move(change)});
    }
    unrelayed_.clear();
    NoteUpstreams();
  }

  // Called with each report. Datagrams may be lost, so changes are sent again.
  void RelayAgain() {
    std::vector<upstream_change> changes;
    for (relayed_change& each : recent_) {
      changes.push_back(each.change);
      --each.repeats;
    }
    reporter_.Relay(changes);
    std::erase_if(recent_,
                  [](const relayed_change& each) { return each.repeats == 0; });
  }

  void TakeChanges(const peer_report& report) {
    for (const upstream_change& change : report.changes) {
      upstreams_.Take(change, state_.clock.Now());
    }
    NoteUpstreams();
  }

  void NoteUpstreams() {
    compared_.TakeOwn(upstreams_.digest(), state_.clock.Now());
  }

  // A watch may miss changes while the store drops its history, and reports may
  // be lost. The first of the watchers compares its state with the store, and
  // the others compare theirs with what it reports.
  awaitable<void> Verify() {
    for (;;) {
      co_await Pause(kVerifyPause);
      const time_point now = state_.clock.Now();
      const report_board& board = reporter_.board();
      if (ManifestVersion() < board.NewestManifest() &&
          read_manifest_at_.Expired(now)) {
        read_manifest_at_ = deadline::After(now, kReadAgainPause);
        co_await ReadManifest();
      }
      const peer_report* verified = board.Verified(now);
      const bool own_turn =
          announcements_.watching() && board.WatchersBefore(now) == 0;
      if (own_turn) {
        if (verify_at_.Expired(now)) {
          verify_at_ = deadline::After(now, kVerifyInterval);
          co_await ReadManifest();
          co_await ReadUpstreams();
        }
        continue;
      }
      if (verified == nullptr) {
        compared_.Reset(now);
      } else if (compared_.HasParted(verified->upstream_digest, now)) {
        Log(log_level::kInfo, log_event::kStoreCompared,
            {{"kind", std::string(Platform::kUpstreamKind)},
             {"own", std::to_string(upstreams_.digest())},
             {"other", std::to_string(verified->upstream_digest)}});
        co_await ReadUpstreams();
      }
    }
  }

  awaitable<void> ReadManifest() {
    const auto main = co_await store_.Get(
        Platform::kManifestKind, Platform::kManifestName, VerifyLimit());
    if (!main) {
      co_return;  // The follower logs an outage.
    }
    const object_event event{object_event_kind::kPut, *main};
    TakeManifest(event);
  }

  awaitable<void> ReadUpstreams() {
    const auto list =
        co_await store_.List(Platform::kUpstreamKind, VerifyLimit());
    if (!list) {
      co_return;
    }
    std::vector<upstream_change> found = TakeUpstreams(*list);
    if (announcements_.watching()) {
      unrelayed_ = std::move(found);
      RelayChanges();
    }
    NoteUpstreams();
    verified_until_ = deadline::After(state_.clock.Now(), kVerifiedFor);
  }

  deadline VerifyLimit() const {
    return deadline::After(state_.clock.Now(), kVerifyCall);
  }

  void TakeManifests(const object_list& list) {
    for (const stored_object& object : list.objects) {
      TakeManifest({object_event_kind::kPut, object});
    }
  }

  void TakeManifest(const object_event& event) {
    if (event.object.name != Platform::kManifestName ||
        event.kind == object_event_kind::kDelete) {
      return;
    }
    auto decoded = Platform::DecodeManifest(event.object.value);
    if (!decoded) {
      Log(log_level::kError, log_event::kManifestRefused,
          {{"revision", std::to_string(event.object.version)},
           {"cause", "not a manifest"}});
      return;
    }
    const manifest_index* known = builder_.manifest();
    if (known != nullptr && decoded->version <= known->version()) {
      return;  // Versions only grow.
    }
    auto index = std::make_shared<const manifest_index>(std::move(*decoded));
    builder_.SetManifest(index);
    PublishView();
    if (known == nullptr) {
      reporter_.TakeFirstLimits();
    }
    caller_server_.Adopt(CallerLimits(index->source().limits));
    Log(log_level::kInfo, log_event::kManifestInForce,
        {{"version", std::to_string(index->version())},
         {"revision", std::to_string(event.object.version)},
         {"routes", std::to_string(index->source().routes.size())},
         {"workspaces", std::to_string(index->source().workspaces.size())}});
  }

  void NoteManifestStore(bool reachable) {
    state_.manifest_in_doubt.store(!reachable, std::memory_order_relaxed);
  }

  std::vector<upstream_change> TakeUpstreams(const object_list& list) {
    std::vector<upstream_change> announced;
    for (const stored_object& object : list.objects) {
      if (auto each = Platform::DecodeUpstream(object.name, object.value)) {
        announced.push_back({object.version, false, std::move(*each)});
      }
    }
    return upstreams_.TakeList(list.version, announced, state_.clock.Now());
  }

  // An entry that can't be read counts as removed.
  void TakeUpstream(const object_event& event) {
    upstream_change change;
    change.version = event.object.version;
    auto announced =
        event.kind == object_event_kind::kDelete
            ? std::nullopt
            : Platform::DecodeUpstream(event.object.name, event.object.value);
    change.removed = !announced;
    change.announced.id = event.object.name;
    if (announced) {
      change.announced = std::move(*announced);
    }
    upstreams_.Take(change, state_.clock.Now());
    unrelayed_.push_back(std::move(change));
  }

  // Learns of the other instances first, so that no limit is granted in full
  // before their shares are known. Serves without them if the store does not
  // answer at once.
  awaitable<void> Join() {
    bool listed = co_await Register();
    Spawn(manifests_.Run());
    Spawn(announcements_.Run());
    while (!listed) {
      co_await Pause(kRegisterPause);
      listed = co_await Register();
    }
  }

  awaitable<void> RemoveDeparted() {
    for (;;) {
      co_await Pause(kDepartedPause);
      co_await departed_.Remove(state_.clock.Now(), duties_.fencing() != 0);
    }
  }

  // Lists this instance in the store and learns of the others. False if the
  // store did not answer.
  awaitable<bool> Register() {
    const std::string self = reporter_.EncodeSelf();
    const auto until = [this] {
      return deadline::After(state_.clock.Now(), kRegisterCall);
    };
    const auto created = co_await store_.Create(
        kInstanceKind, state_.settings.name, self, until());
    if (!created && created.error() != store_error::kConflict) {
      co_return false;
    }
    const auto list = co_await store_.List(kInstanceKind, until());
    if (!list) {
      co_return false;
    }
    reporter_.Expect(list->objects);
    co_return true;
  }

  // How often a change is sent again. Three watchers send each one, and the
  // comparison finds what is missed even so.
  static constexpr int kRelayRepeats = 2;
  // A change has to be in force within two seconds of its acknowledgement.
  static constexpr duration kVerifyPause = std::chrono::milliseconds(100);
  // Between two tries to read a manifest that others have.
  static constexpr duration kReadAgainPause = std::chrono::milliseconds(300);
  static constexpr duration kVerifyInterval = std::chrono::milliseconds(500);
  static constexpr duration kVerifyCall = std::chrono::milliseconds(800);
  static constexpr duration kVerifiedFor = std::chrono::milliseconds(1200);
  // A shorter difference may be a change on its way. With the interval of the
  // verifying instance and that of its reports, a missed change is found within
  // 1.7 s; the bound is 2 s.
  static constexpr duration kDifferenceLimit = std::chrono::milliseconds(500);

  struct relayed_change {
    // How often it is still to be sent again.
    int repeats = 0;
    upstream_change change;
  };

  gateway_state state_;
  io_pool control_;
  io_pool callers_;
  std::string identity_;
  typename Platform::store store_;
  typename Platform::cloud cloud_;
  peer_reporter reporter_;
  deadline verified_until_ = deadline(time_point::min());
  deadline verify_at_ = deadline(time_point::min());
  deadline read_manifest_at_ = deadline(time_point::min());
  watch_duty watch_duty_;
  digest_comparison compared_{kDifferenceLimit};
  std::vector<upstream_change> unrelayed_;
  std::vector<relayed_change> recent_;
  duty_runner<typename Platform::store, typename Platform::cloud> duties_;
  departed_entries<typename Platform::store> departed_;
  serving_view_builder builder_;
  announced_upstreams upstreams_;
  kind_follower<typename Platform::store> manifests_;
  kind_follower<typename Platform::store> announcements_;
  std::vector<std::unique_ptr<http_client>> clients_;
  call_forwarder<typename Platform::codec> forwarder_;
  gateway_admin admin_;
  http_server admin_server_;
  http_server ready_server_;
  http_server caller_server_;
};

}  // namespace anvilloom

#endif  // ENTRY_GATEWAY_H_
