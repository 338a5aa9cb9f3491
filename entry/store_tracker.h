// Defines store_tracker, which keeps the manifest and the upstreams of an entry
// instance as the store has them: by watching it, by reading it, and by what
// other instances tell.
#ifndef ENTRY_STORE_TRACKER_H_
#define ENTRY_STORE_TRACKER_H_

#include <algorithm>
#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "common/log.h"
#include "common/printable_text.h"
#include "entry/announced_upstreams.h"
#include "entry/gateway_state.h"
#include "entry/object_watcher.h"
#include "entry/peer_reporter.h"
#include "entry/serving_platform.h"
#include "instances/store_era.h"
#include "instances/store_gossip.h"
#include "instances/watch_duty.h"
#include "wire/announcement_check.h"
#include "wire/http_client.h"
#include "wire/pause.h"
#include "wire/report_codec.h"

namespace anvilloom {

// Called when a manifest takes effect; `first` if there was none before.
using manifest_listener =
    std::function<void(const manifest_index& index, bool first)>;

// Used on the control thread; not thread-safe.
template <serving_platform Platform>
class store_tracker {
 public:
  using store = typename Platform::store;

  store_tracker(gateway_state& state,
                store& objects,
                peer_reporter& reporter,
                const boost::asio::any_io_executor& executor,
                manifest_listener on_manifest)
      : state_(state),
        store_(objects),
        reporter_(reporter),
        executor_(executor),
        on_manifest_(std::move(on_manifest)),
        gossip_(std::min(state.settings.manifest_apply,
                         state.settings.upstream_drain),
                Hash64(state.settings.name, state.epoch)),
        peers_(executor, PeerLimits()),
        upstreams_(builder_, [this] { state_.Publish(builder_.Build()); }),
        manifests_(store_, Platform::kManifestKind, ManifestCallbacks()),
        announcements_(store_, Platform::kUpstreamKind, UpstreamCallbacks()) {}

  // The address at which AnswerNews() is served to other instances.
  void SetFetchAddress(std::string address) {
    fetch_address_ = std::move(address);
  }

  // The tasks; none of them returns.
  awaitable<void> FollowManifests() { return manifests_.Run(); }
  awaitable<void> FollowAnnouncements() { return announcements_.Run(); }
  awaitable<void> RemoveUpstreams() { return upstreams_.Run(); }
  // Reads the store when the view has not been confirmed for too long.
  awaitable<void> ConfirmView() {
    for (;;) {
      const time_point now = boot_clock_.Now();
      const deadline next = gossip_.NextRead(Self(), now);
      if (next.Expired(now)) {
        co_await ReadStore();
      } else {
        co_await Pause(std::min(next.Remaining(now), kMaxPause));
      }
    }
  }

  // Applies what a report of another instance says of the store.
  void Take(const peer_report& report) {
    NoteEra(report.store_era);
    if (report.content == report_content::kNewsQuestion) {
      store_news news = gossip_.AnswerTo(report.asked_at, boot_clock_.Now());
      news.fetch_address = fetch_address_;
      reporter_.SendNews(report.address, std::move(news));
      return;
    }
    if (report.news) {
      TakeNews(*report.news, report.address);
      return;
    }
    // Most reports say nothing new.
    if (report.changes.empty() &&
        report.manifest_version <= gossip_.newest_manifest()) {
      return;
    }
    const time_point now = boot_clock_.Now();
    NoteSlowRead();
    gossip_.NoteManifest(report.manifest_version, now);
    std::vector<upstream_change> changes = report.changes;
    std::erase_if(changes, [this](const upstream_change& each) {
      return EraOf(each.version) < EraOf(gossip_.through());
    });
    for (const upstream_change& each :
         upstreams_.ApplyChanges(changes, state_.clock.Now())) {
      gossip_.RecordChange(each, now);
    }
    HandleChange();
  }

  // Returns the encoded news for an instance that knows the upstreams up to
  // revision `through` and the manifest of this version.
  std::string AnswerNews(std::uint64_t through,
                         std::uint64_t manifest_version) const {
    store_news news = gossip_.NewsAfter(through, boot_clock_.Now());
    if (manifest_version < ManifestVersion()) {
      news.document = document_;
    }
    return reporter_.EncodeNews(std::move(news));
  }

  // Fills in what this instance knows of the store.
  void Complete(peer_report& report) const {
    const auto confirmed_at = gossip_.confirmed_at();
    report.manifest_version = ManifestVersion();
    report.upstream_digest = upstreams_.digest();
    report.verified =
        confirmed_at && boot_clock_.Now() - *confirmed_at < kVerifiedLifetime;
    report.watching = announcements_.watching();
    report.store_era = state_.era.seen();
  }

 private:
  // Longest pause before the time of the next read is checked again, since it
  // may come closer.
  static constexpr duration kMaxPause = std::chrono::milliseconds(100);
  // Instances of builds without news compare their upstreams with those that an
  // instance has verified for less than this.
  static constexpr duration kVerifiedLifetime = std::chrono::milliseconds(1200);
  static constexpr std::size_t kMaxLoggedName = 64;
  static constexpr std::size_t kRememberedIgnored = 64;

  static http_client_limits PeerLimits() {
    http_client_limits limits;
    // News come from other instances each time, so few connections are reused.
    limits.idle_connections_per_server = 1;
    limits.idle_timeout = std::chrono::seconds(2);
    return limits;
  }

  watch_callbacks ManifestCallbacks() {
    return {.on_list =
                [this](const object_list& list, time_point asked_at) {
                  for (const stored_object& object : list.objects) {
                    ApplyManifest(object, "list");
                  }
                  manifest_listed_at_ = asked_at;
                  manifest_listed_era_ = state_.era.seen();
                  RecordLists();
                },
            .on_event =
                [this](const object_event& event) {
                  if (event.kind == object_event_kind::kPut) {
                    ApplyManifest(event.object, "watch");
                    HandleChange();
                  }
                  return true;
                },
            .on_watch_end = [](std::uint64_t, std::uint64_t) {},
            .on_reachability = [](bool) {},
            .must_watch = [this] { return ShouldWatch(); }};
  }

  watch_callbacks UpstreamCallbacks() {
    return {.on_list =
                [this](const object_list& list, time_point asked_at) {
                  ApplyUpstreams(list);
                  if (!list.complete) {
                    HandleChange();
                    return;
                  }
                  upstreams_listed_at_ = asked_at;
                  upstreams_listed_era_ = state_.era.seen();
                  RecordLists();
                },
            .on_event =
                [this](const object_event& event) {
                  watched_.push_back(DecodeChange(event));
                  return true;
                },
            .on_watch_end =
                [this](std::uint64_t from, std::uint64_t through) {
                  ApplyWatched(from, through);
                },
            .on_reachability =
                [this](bool reachable) {
                  upstreams_.SetStoreReachable(reachable, state_.clock.Now());
                },
            .must_watch = [this] { return ShouldWatch(); }};
  }

  bool ShouldWatch() {
    const time_point now = state_.clock.Now();
    const peer_report_table& peers = reporter_.peer_reports();
    return watch_duty_.MustWatch(peers.Rank(now), peers.WatchersBefore(now),
                                 now);
  }

  store_gossip::reader Self() const {
    const peer_report_table& peers = reporter_.peer_reports();
    store_gossip::reader self;
    self.watches = announcements_.watching();
    self.position = peers.WatchersBefore(state_.clock.Now());
    self.members = peers.Members();
    return self;
  }

  std::uint64_t ManifestVersion() const {
    return builder_.manifest() == nullptr ? 0 : builder_.manifest()->version();
  }

  awaitable<void> ReadStore() {
    const time_point asked_at = boot_clock_.Now();
    reading_since_ = asked_at;
    const deadline until =
        deadline::After(state_.clock.Now(), gossip_.read_timeout());
    const auto object = co_await store_.Get(Platform::kManifestKind,
                                            Platform::kManifestName, until);
    if (object) {
      ApplyManifest(*object, "read");
    }
    const std::uint64_t era = state_.era.seen();
    const bool has_answer = object || object.error() == store_error::kNotFound;
    if (!has_answer) {
      NoteOutage(asked_at);
    }
    const auto list = co_await store_.List(Platform::kUpstreamKind, until);
    NoteSlowRead();
    if (list) {
      ApplyUpstreams(*list);
    }
    // The watchers log a store outage.
    if (has_answer && list) {
      // Neither two reads in different eras nor a part of a list confirm the
      // view.
      if (era == state_.era.seen() && list->complete) {
        gossip_.RecordRead(asked_at, boot_clock_.Now());
      } else if (!list->complete) {
        gossip_.RecordFailedRead(reporter_.peer_reports().Members(),
                                 boot_clock_.Now());
      }
    } else {
      NoteOutage(asked_at);
      gossip_.RecordFailedRead(reporter_.peer_reports().Members(),
                               boot_clock_.Now());
    }
    reading_since_.reset();
    HandleChange();
  }

  // Notes that a read of the store that began at `asked_at` has not been
  // answered, so that entries which are missing from now on may have lapsed in
  // an outage. A view that is merely late says nothing of the store.
  void NoteOutage(time_point asked_at) {
    outage_seen_at_ = asked_at;
    upstreams_.SetStoreReachable(false, state_.clock.Now());
  }

  // The same for a read that takes long: others may have found out before it
  // ends that the store answers again.
  void NoteSlowRead() {
    if (reading_since_ &&
        boot_clock_.Now() - *reading_since_ >= gossip_.fetch_timeout()) {
      NoteOutage(*reading_since_);
    }
  }

  // Ends the outage once a view that was read after it began is known.
  void NoteOutageEnd() {
    if (outage_seen_at_ && gossip_.confirmed_at() > outage_seen_at_) {
      outage_seen_at_.reset();
      upstreams_.SetStoreReachable(true, state_.clock.Now());
    }
  }

  // Fetches what this instance lacks from one that has sent news.
  awaitable<void> Fetch(std::string address) {
    const time_point asked_at = boot_clock_.Now();
    const std::string target = std::string(kNewsPath) +
                               "?after=" + std::to_string(gossip_.through()) +
                               "&manifest=" + std::to_string(ManifestVersion());
    const auto answer = co_await peers_.Exchange(
        address, MakeRequest(boost::beast::http::verb::get, target),
        deadline::After(state_.clock.Now(), gossip_.fetch_timeout()));
    fetching_ = false;
    const auto report = answer && answer->result() == http_status::ok
                            ? DecodePeerReport(answer->body())
                            : std::nullopt;
    if (!report || !report->news) {
      Log(log_level::kWarning, log_event::kNewsNotFetched,
          {{"address", address},
           {"through", std::to_string(gossip_.through())},
           {"manifest", std::to_string(ManifestVersion())}});
      co_return;
    }
    store_news news = *report->news;
    news.asked_at = asked_at;
    TakeNews(news, {});
  }

  // Takes news from the instance that gets reports at `sender`; the answer to a
  // fetch has none, since it leaves nothing to ask for.
  void TakeNews(const store_news& news, std::string_view sender) {
    const time_point now = state_.clock.Now();
    NoteSlowRead();
    if (news.document) {
      ApplyManifest({std::string(Platform::kManifestName),
                     news.document->revision, news.document->text},
                    "instance");
    }
    NoteEra(EraOf(news.through));
    std::vector<upstream_change> newer;
    if (EraOf(news.through) >= EraOf(gossip_.through())) {
      newer = news.whole ? upstreams_.ApplyList(news.through, news.changes, now)
                         : upstreams_.ApplyChanges(news.changes, now);
    }
    const time_point boot_now = boot_clock_.Now();
    const auto action = gossip_.Take(news, newer, boot_now);
    if (action == store_gossip::next_action::kFetch && !sender.empty() &&
        !fetching_ && !news.fetch_address.empty()) {
      fetching_ = true;
      boost::asio::co_spawn(executor_, Fetch(news.fetch_address),
                            boost::asio::detached);
    } else if (action == store_gossip::next_action::kAsk) {
      reporter_.AskForNews(sender, boot_now);
    }
    HandleChange();
  }

  void RecordLists() {
    if (manifest_listed_at_ && upstreams_listed_at_ &&
        manifest_listed_era_ == upstreams_listed_era_) {
      gossip_.RecordRead(std::min(*manifest_listed_at_, *upstreams_listed_at_),
                         boot_clock_.Now());
    }
    HandleChange();
  }

  // Publishes until when the manifest is known to be in force, and passes news
  // on.
  void HandleChange() {
    NoteOutageEnd();
    if (const auto confirmed_at = gossip_.confirmed_at()) {
      state_.era.SetView(EraOf(gossip_.through()));
      state_.manifest_confirmed_us.store(
          confirmed_at->time_since_epoch().count(), std::memory_order_relaxed);
    }
    state_.manifest_valid_until_us.store(
        gossip_.ManifestValidUntil().at().time_since_epoch().count(),
        std::memory_order_relaxed);
    SpreadPending();
  }

  void SpreadPending() {
    if (auto news = gossip_.TakeNews(boot_clock_.Now())) {
      news->fetch_address = fetch_address_;
      reporter_.Spread(std::move(*news));
    }
    if (!telling_later_ && gossip_.NextTell() != deadline::Never()) {
      telling_later_ = true;
      boost::asio::co_spawn(executor_, TellLater(), boost::asio::detached);
    }
  }

  // Passes on what is held back because news were sent shortly before.
  awaitable<void> TellLater() {
    co_await Pause(gossip_.NextTell().Remaining(boot_clock_.Now()));
    telling_later_ = false;
    SpreadPending();
  }

  // `source` names what the manifest came from.
  void ApplyManifest(const stored_object& object, std::string_view source) {
    if (object.name != Platform::kManifestName) {
      return;
    }
    auto decoded = Platform::DecodeManifest(object.value);
    if (!decoded) {
      Log(log_level::kError, log_event::kManifestRefused,
          {{"revision", std::to_string(object.version)},
           {"cause", "not a manifest"}});
      return;
    }
    const manifest_index* known = builder_.manifest();
    if (known != nullptr && decoded->version <= known->version()) {
      return;  // Versions are monotonic.
    }
    const bool first = known == nullptr;
    auto index = std::make_shared<const manifest_index>(std::move(*decoded));
    builder_.SetManifest(index);
    document_ = {object.version, object.value};
    state_.Publish(builder_.Build());
    gossip_.RecordManifest(index->version(), boot_clock_.Now());
    on_manifest_(*index, first);
    Log(log_level::kInfo, log_event::kManifestInForce,
        {{"version", std::to_string(index->version())},
         {"revision", std::to_string(object.version)},
         {"source", std::string(source)},
         {"routes", std::to_string(index->source().routes.size())},
         {"workspaces", std::to_string(index->source().workspaces.size())}});
  }

  // Notes an era in which the store or another instance has answered. Entries
  // that the copy lacks are written again, as after an outage.
  void NoteEra(std::uint64_t era) {
    if (era <= noted_era_) {
      return;
    }
    if (std::exchange(noted_era_, era) != 0) {
      upstreams_.SetStoreReachable(true, state_.clock.Now());
    }
    state_.era.Hear(era);
  }

  void ApplyUpstreams(const object_list& list) {
    NoteEra(EraOf(list.version));
    std::vector<upstream_change> announced;
    for (const stored_object& object : list.objects) {
      if (auto each = Platform::DecodeUpstream(object.name, object.value)) {
        announced.push_back({object.version, false, std::move(*each)});
      } else {
        ReportIgnored(object);
      }
    }
    if (!list.complete) {
      // Upstreams that are missing here may exist.
      for (const upstream_change& each :
           upstreams_.ApplyChanges(announced, state_.clock.Now())) {
        gossip_.RecordChange(each, boot_clock_.Now());
      }
      return;
    }
    const std::vector<upstream_change> newer =
        upstreams_.ApplyList(list.version, announced, state_.clock.Now());
    gossip_.RecordList(list.version, list.read_until, newer, boot_clock_.Now());
  }

  // An entry that can't be decoded counts as removed.
  upstream_change DecodeChange(const object_event& event) {
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
    } else if (event.kind == object_event_kind::kPut) {
      ReportIgnored(event.object);
    }
    return change;
  }

  void ApplyWatched(std::uint64_t from, std::uint64_t through) {
    // No upstream has another id, so no instance needs to know of it.
    std::erase_if(watched_, [](const upstream_change& each) {
      return !IsEntryName(each.announced.id);
    });
    const std::vector<upstream_change> newer =
        upstreams_.ApplyChanges(watched_, state_.clock.Now());
    watched_.clear();
    gossip_.RecordWatch(from, through, newer, boot_clock_.Now());
    HandleChange();
  }

  // Logs an entry that names no usable upstream, once for each revision among
  // the latest ones.
  void ReportIgnored(const stored_object& entry) {
    if (std::ranges::find(ignored_revisions_, entry.version) !=
        ignored_revisions_.end()) {
      return;
    }
    ignored_revisions_[next_ignored_++ % ignored_revisions_.size()] =
        entry.version;
    state_.counters.ignored_entries.fetch_add(1, std::memory_order_relaxed);
    Log(log_level::kWarning, log_event::kUpstreamEntryIgnored,
        {{"entry", std::string(CutText(entry.name, kMaxLoggedName))},
         {"revision", std::to_string(entry.version)},
         {"bytes", std::to_string(entry.value.size())}});
  }

  gateway_state& state_;
  store& store_;
  peer_reporter& reporter_;
  boost::asio::any_io_executor executor_;
  manifest_listener on_manifest_;
  boot_source boot_clock_;
  store_gossip gossip_;
  http_client peers_;
  std::string fetch_address_;
  bool fetching_ = false;
  // Whether TellLater() waits.
  bool telling_later_ = false;
  watch_duty watch_duty_;
  // The stored object of the manifest in force, for instances that lack it.
  std::optional<manifest_document> document_;
  // When the read of the store began that is under way.
  std::optional<time_point> reading_since_;
  // When the last read began that was not answered, until the store is known to
  // have answered a later one.
  std::optional<time_point> outage_seen_at_;
  // When the calls began that listed the objects last.
  std::optional<time_point> manifest_listed_at_;
  std::optional<time_point> upstreams_listed_at_;
  // The eras in which these lists were read, and the newest one known.
  std::uint64_t manifest_listed_era_ = 0;
  std::uint64_t upstreams_listed_era_ = 0;
  std::uint64_t noted_era_ = 0;
  // Changes of the watch that is being answered.
  std::vector<upstream_change> watched_;
  // Store revisions of the ignored entries that were logged last.
  std::array<std::uint64_t, kRememberedIgnored> ignored_revisions_{};
  std::size_t next_ignored_ = 0;
  serving_view_builder builder_;
  announced_upstreams upstreams_;
  object_watcher<store> manifests_;
  object_watcher<store> announcements_;
};

}  // namespace anvilloom

#endif  // ENTRY_STORE_TRACKER_H_
