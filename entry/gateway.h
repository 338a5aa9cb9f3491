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
#include "entry/duty_runner.h"
#include "entry/forwarded_call.h"
#include "entry/gateway_admin.h"
#include "entry/gateway_state.h"
#include "entry/kind_follower.h"
#include "entry/peer_reporter.h"
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
        upstreams_(builder_, [this] { PublishView(); }),
        manifests_(
            store_,
            Platform::kManifestKind,
            [this](const object_list& list) { TakeManifests(list); },
            [this](const object_event& event) {
              TakeManifest(event);
              return true;
            },
            [this](bool reachable) { NoteManifestStore(reachable); }),
        announcements_(
            store_,
            Platform::kUpstreamKind,
            [this](const object_list& list) { TakeUpstreams(list); },
            [this](const object_event& event) {
              TakeUpstream(event);
              return true;
            },
            [this](bool reachable) {
              upstreams_.NoteStore(reachable, state_.clock.Now());
            }),
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
    Spawn(manifests_.Run());
    Spawn(announcements_.Run());
    Spawn(upstreams_.Run());
    Spawn(Register());
    Spawn(reporter_.Receive());
    Spawn(reporter_.Report(
        [this](peer_report& report) { CompleteReport(report); }));
    Spawn(Verify());
    if (!state_.settings.cloud.empty()) {
      Spawn(duties_.Run());
    }
    callers_.Start();
    control_.Start();
    Log(log_level::kInfo, log_event::kStarted,
        {{"name", state_.settings.name},
         {"domain", state_.settings.failure_domain},
         {"listen", state_.settings.listen},
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
  static constexpr duration kRegisterCall = std::chrono::seconds(1);
  static constexpr duration kRegisterPause = std::chrono::seconds(1);
  // Descriptors for listeners, upstreams and the store.
  static constexpr std::size_t kOwnDescriptors = 700;

  void Spawn(awaitable<void> task) {
    boost::asio::co_spawn(control_.context(0), std::move(task),
                          boost::asio::detached);
  }

  io_pool& MakeClients(io_pool& pool) {
    http_client_limits limits;
    limits.probe_silent = true;
    // Upstreams that do not say how long they keep a connection close it after
    // some seconds.
    limits.idle_limit = std::chrono::seconds(4);
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

  void CompleteReport(peer_report& report) const {
    report.duty_fencing = duties_.fencing();
    report.manifest_version = ManifestVersion();
    report.upstream_digest = upstreams_.digest();
    report.verified =
        verified_until_.Remaining(state_.clock.Now()) > duration::zero();
  }

  std::uint64_t ManifestVersion() const {
    return builder_.manifest() == nullptr ? 0 : builder_.manifest()->version();
  }

  // A watch may miss changes while the store drops its history. One instance
  // compares its state with the store, and the others compare theirs with what
  // it reports.
  awaitable<void> Verify() {
    for (;;) {
      co_await Pause(kVerifyPause);
      const time_point now = state_.clock.Now();
      const peer_report* verified = reporter_.board().Verified(now);
      if (verified == nullptr || reporter_.board().RankForDuties(now) == 0) {
        co_await VerifyWithStore();
        continue;
      }
      const bool behind =
          ManifestVersion() < reporter_.board().NewestManifest() ||
          upstreams_.digest() != verified->upstream_digest;
      // A single difference may be a change on its way.
      if (behind && behind_before_) {
        co_await VerifyWithStore();
      }
      behind_before_ = behind && !behind_before_;
    }
  }

  awaitable<void> VerifyWithStore() {
    const deadline until = deadline::After(state_.clock.Now(), kVerifyCall);
    const auto main = co_await store_.Get(Platform::kManifestKind,
                                          Platform::kManifestName, until);
    if (!main) {
      co_return;  // The follower logs an outage.
    }
    const object_event event{object_event_kind::kPut, *main};
    TakeManifest(event);
    const auto list = co_await store_.List(Platform::kUpstreamKind, until);
    if (!list) {
      co_return;
    }
    TakeUpstreams(*list);
    verified_until_ = deadline::After(state_.clock.Now(), kVerifiedFor);
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

  void TakeUpstreams(const object_list& list) {
    // A list may have been made before an event that came meanwhile.
    if (list.version < upstreams_version_) {
      return;
    }
    upstreams_version_ = list.version;
    std::vector<upstream_announcement> announced;
    for (const stored_object& object : list.objects) {
      if (auto each = Platform::DecodeUpstream(object.name, object.value)) {
        announced.push_back(std::move(*each));
      }
    }
    upstreams_.TakeList(announced, state_.clock.Now());
  }

  void TakeUpstream(const object_event& event) {
    upstreams_version_ = std::max(upstreams_version_, event.object.version);
    const auto announced =
        event.kind == object_event_kind::kDelete
            ? std::nullopt
            : Platform::DecodeUpstream(event.object.name, event.object.value);
    upstreams_.Take(event.object.name, announced, state_.clock.Now());
  }

  // Lists this instance in the store and learns of the others.
  awaitable<void> Register() {
    const std::string self = reporter_.EncodeSelf();
    bool listed = false;
    while (!listed) {
      const auto until = [this] {
        return deadline::After(state_.clock.Now(), kRegisterCall);
      };
      const auto created = co_await store_.Create(
          kInstanceKind, state_.settings.name, self, until());
      if (created || created.error() == store_error::kConflict) {
        const auto list = co_await store_.List(kInstanceKind, until());
        if (list) {
          reporter_.Expect(list->objects);
          listed = true;
        }
      }
      if (!listed) {
        co_await Pause(kRegisterPause);
      }
    }
  }

  // A change has to be in force within two seconds of its acknowledgement.
  static constexpr duration kVerifyPause = std::chrono::milliseconds(500);
  static constexpr duration kVerifyCall = std::chrono::milliseconds(800);
  static constexpr duration kVerifiedFor = std::chrono::milliseconds(1200);

  gateway_state state_;
  io_pool control_;
  io_pool callers_;
  std::string identity_;
  typename Platform::store store_;
  typename Platform::cloud cloud_;
  peer_reporter reporter_;
  deadline verified_until_ = deadline(time_point::min());
  bool behind_before_ = false;
  std::uint64_t upstreams_version_ = 0;
  duty_runner<typename Platform::store, typename Platform::cloud> duties_;
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
