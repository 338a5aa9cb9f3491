#include "entry/configuration_follower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <span>
#include <utility>

#include "common/hash.h"
#include "common/log.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace leaf = boost::leaf;

constexpr duration kCallTimeout = std::chrono::seconds(3);
constexpr duration kWatchTimeout = std::chrono::seconds(30);
// Delay after a failed call; short compared to the 10 s within which a change
// must be active.
constexpr duration kRetryDelay = std::chrono::milliseconds(500);
// Timeout of a request to a peer, whose response may be a file of 1 MB.
constexpr duration kPeerTimeout = std::chrono::seconds(2);
// Two watchers, so that one of them may fail or be paused.
constexpr std::size_t kWatchersPerDomain = 2;
// Interval at which an instance without a watch lists the manifest. It finds
// revisions whose announcements were lost; announcements are much faster.
constexpr duration kFallbackPollInterval = std::chrono::seconds(20);

// Maximum number of faults logged for one revision.
constexpr std::size_t kMaxLoggedFaults = 20;

// Decodes and validates a revision; logs its faults.
std::optional<configuration> DecodeOrLog(
    std::span<const configuration_file> files,
    std::uint64_t revision) {
  using accepted = std::optional<configuration>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<accepted> {
        BOOST_LEAF_AUTO(decoded, DecodeConfiguration(files, revision));
        return accepted(std::move(decoded));
      },
      [&](const configuration_faults& found) {
        const std::string count = std::to_string(found.faults.size());
        for (const configuration_fault& fault :
             std::span(found.faults)
                 .first(std::min(found.faults.size(), kMaxLoggedFaults))) {
          Log(log_level::kError, log_event::kConfigurationRefused,
              {{"revision", std::to_string(revision)},
               {"faults", count},
               {"cause", ErrorMessage(fault)}});
        }
        return accepted();
      },
      [] { return accepted(); });
}

}  // namespace

configuration_follower::configuration_follower(
    process_state& process,
    boost::asio::any_io_executor executor)
    : process_(process),
      executor_(executor),
      store_(std::move(executor), process.settings.object_api) {}

awaitable<void> configuration_follower::Run() {
  for (;;) {
    co_await ListAndWatch();
    co_await Pause(kRetryDelay);
  }
}

awaitable<void> configuration_follower::ListAndWatch() {
  const auto list = co_await store_.List(
      kManifestKind, deadline::After(process_.clock.Now(), kCallTimeout));
  if (!list) {
    Log(log_level::kWarning, log_event::kObjectApiUnavailable);
    co_return;
  }
  std::optional<configuration_manifest> newest;
  for (const stored_object& object : list->objects) {
    if (object.name == kManifestName) {
      newest = DecodeManifest(object.value);
    }
  }
  std::uint64_t version = list->version;
  for (;;) {
    if (newest && !co_await Apply(std::move(*newest), {})) {
      co_return;
    }
    newest.reset();
    if (!IsWatcher()) {
      co_await Pause(kFallbackPollInterval);
      co_return;
    }
    const auto seen = co_await store_.Watch(
        kManifestKind, version,
        [&](const object_event& event) {
          if (event.kind == object_event_kind::kPut &&
              event.object.name == kManifestName) {
            newest = DecodeManifest(event.object.value);
          }
          return !newest.has_value();
        },
        deadline::After(process_.clock.Now(), kWatchTimeout));
    if (!seen) {
      Log(log_level::kInfo, log_event::kConfigurationRelisted);
      co_return;
    }
    version = *seen;
  }
}

bool configuration_follower::IsWatcher() const {
  if (process_.peers == nullptr) {
    return true;
  }
  const std::string& self = process_.settings.name;
  const std::uint64_t own_score = Hash64(self);
  const rcu_read_guard guard;
  std::size_t ahead = 0;
  for (const live_member& each : process_.members.Read(guard).live) {
    if (each.profile.domain == process_.settings.failure_domain &&
        each.profile.name != self && !each.profile.leaving &&
        Hash64(each.profile.name) > own_score) {
      ++ahead;
    }
  }
  return ahead < kWatchersPerDomain;
}

awaitable<bool> configuration_follower::Apply(configuration_manifest manifest,
                                              std::string from_address) {
  const std::uint64_t in_force =
      process_.revision_in_force.load(std::memory_order_acquire);
  if (manifest.revision <= in_force) {
    co_return true;
  }
  const auto files = co_await Fetch(manifest, from_address);
  if (!files) {
    co_return false;
  }
  const auto accepted = DecodeOrLog(*files, manifest.revision);
  if (!accepted) {
    co_return true;
  }
  // A newer revision from another source may have been activated while the
  // files were fetched; it must not be replaced by an older one.
  if (manifest.revision >
      process_.revision_in_force.load(std::memory_order_acquire)) {
    Activate(*accepted, manifest);
  }
  co_return true;
}

awaitable<std::optional<std::vector<configuration_file>>>
configuration_follower::Fetch(const configuration_manifest& manifest,
                              std::string_view from_address) {
  std::vector<configuration_file> files;
  std::map<std::string, std::string> texts;
  for (const manifest_entry& entry : manifest.files) {
    const auto cached = texts_.find(entry.digest);
    std::optional<std::string> text;
    if (cached != texts_.end()) {
      text = cached->second;
    } else {
      text = co_await FetchFile(entry, from_address);
    }
    if (!text) {
      co_return std::nullopt;
    }
    texts[entry.digest] = *text;
    files.push_back({entry.name, std::move(*text)});
  }
  texts_ = std::move(texts);
  co_return files;
}

awaitable<std::optional<std::string>> configuration_follower::FetchFile(
    const manifest_entry& entry,
    std::string_view from_address) {
  if (!from_address.empty()) {
    auto text = co_await RequestFromPeer(from_address, entry.digest);
    if (text && Sha256Hex(*text) == entry.digest) {
      co_return text;
    }
    Log(log_level::kWarning, log_event::kConfigurationRelayFailed,
        {{"file", entry.name}, {"from", std::string(from_address)}});
    co_return std::nullopt;
  }
  const auto object =
      co_await store_.Get(kFileKind, entry.digest,
                          deadline::After(process_.clock.Now(), kCallTimeout));
  auto text = object ? DecodeFileObject(object->value) : std::nullopt;
  if (!text || Sha256Hex(*text) != entry.digest) {
    Log(log_level::kWarning, log_event::kObjectApiUnavailable,
        {{"file", entry.name}});
    co_return std::nullopt;
  }
  co_return text;
}

awaitable<std::optional<std::string>> configuration_follower::RequestFromPeer(
    std::string_view from_address,
    std::string_view digest) {
  std::vector<std::string> addresses = {std::string(from_address)};
  peer_body request = configuration_fetch{std::string(digest)};
  auto answers = co_await process_.peers->SendRequest(
      std::move(addresses), std::move(request),
      deadline::After(process_.clock.Now(), kPeerTimeout));
  if (answers.empty()) {
    co_return std::nullopt;
  }
  auto* answer = std::get_if<configuration_fetch_answer>(&answers.front());
  if (answer == nullptr || !answer->found) {
    co_return std::nullopt;
  }
  co_return std::move(answer->text);
}

awaitable<void> configuration_follower::FetchFromPeer(
    std::uint64_t revision,
    std::string from_address) {
  if (fetching_from_peer_ ||
      revision <= process_.revision_in_force.load(std::memory_order_acquire)) {
    co_return;
  }
  fetching_from_peer_ = true;
  const auto text = co_await RequestFromPeer(from_address, {});
  auto manifest = text ? DecodeManifest(*text) : std::nullopt;
  const bool newer =
      manifest && manifest->revision > process_.revision_in_force.load(
                                           std::memory_order_acquire);
  if (newer) {
    const std::uint64_t taken = manifest->revision;
    if (co_await Apply(std::move(*manifest), from_address)) {
      Log(log_level::kInfo, log_event::kConfigurationRelayed,
          {{"revision", std::to_string(taken)}, {"from", from_address}});
    }
  }
  fetching_from_peer_ = false;
}

configuration_handlers configuration_follower::RelayCallbacks() {
  return {
      [this](std::uint64_t revision, std::string from_address) {
        net::post(executor_, [this, revision,
                              from = std::move(from_address)]() mutable {
          net::co_spawn(executor_, FetchFromPeer(revision, std::move(from)),
                        net::detached);
        });
      },
      [this](const configuration_fetch& request) { return Serve(request); }};
}

configuration_fetch_answer configuration_follower::Serve(
    const configuration_fetch& request) {
  std::shared_ptr<const served_revision> served;
  {
    const std::lock_guard lock(mutex_);
    served = served_;
  }
  if (!served) {
    return {};
  }
  if (request.digest.empty()) {
    return {true, served->manifest};
  }
  const auto found = served->texts.find(request.digest);
  if (found == served->texts.end()) {
    return {};
  }
  return {true, found->second};
}

void configuration_follower::Activate(const configuration& accepted,
                                      const configuration_manifest& manifest) {
  topology_builder builder;
  builder.Configuration(accepted);
  std::unique_ptr<const topology> next;
  {
    const rcu_read_guard guard;
    builder.ReuseLinksAndAccounts(process_.world.Read(guard));
    next = builder.Build();
  }
  process_.world.Publish(std::move(next));
  const std::uint64_t before = process_.revision_in_force.exchange(
      accepted.revision, std::memory_order_acq_rel);
  auto served = std::make_shared<served_revision>();
  served->manifest = EncodeManifest(manifest);
  served->texts = texts_;
  {
    const std::lock_guard lock(mutex_);
    served_ = std::move(served);
  }
  if (process_.peers != nullptr) {
    process_.peers->AnnounceRevision(accepted.revision);
  }
  Log(log_level::kInfo, log_event::kConfigurationInForce,
      {{"revision", std::to_string(accepted.revision)},
       {"services", std::to_string(accepted.services.size())},
       {"upstreams", std::to_string(accepted.upstreams.size())}});
  if (before == 0) {
    Log(log_level::kInfo, log_event::kReady);
  }
}

}  // namespace anvilloom
