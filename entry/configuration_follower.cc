#include "entry/configuration_follower.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <span>
#include <utility>

#include "common/hash.h"
#include "common/log.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace leaf = boost::leaf;

constexpr std::string_view kManifestKind = "configuration";
constexpr std::string_view kManifestName = "manifest";
constexpr std::string_view kFileKind = "configuration-files";
constexpr duration kCallLimit = std::chrono::seconds(3);
constexpr duration kWatchLimit = std::chrono::seconds(30);
// Pause after a failed call; short against the 10 s in which a change must be
// in force.
constexpr duration kRetryPause = std::chrono::milliseconds(500);

// Faults of one revision that are logged one by one.
constexpr std::size_t kLoggedFaults = 20;

// Decodes and checks a revision; logs what is wrong with it.
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
                 .first(std::min(found.faults.size(), kLoggedFaults))) {
          Log(log_level::kError, log_event::kConfigurationRefused,
              {{"revision", std::to_string(revision)},
               {"faults", count},
               {"cause", Sentence(fault)}});
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
    co_await Pause();
  }
}

awaitable<void> configuration_follower::ListAndWatch() {
  const auto list = co_await store_.List(
      kManifestKind, deadline::After(process_.clock.Now(), kCallLimit));
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
    if (newest && !co_await Apply(std::move(*newest))) {
      co_return;
    }
    newest.reset();
    const auto seen = co_await store_.Watch(
        kManifestKind, version,
        [&](const object_event& event) {
          if (event.kind == object_event_kind::kPut &&
              event.object.name == kManifestName) {
            newest = DecodeManifest(event.object.value);
          }
          return !newest.has_value();
        },
        deadline::After(process_.clock.Now(), kWatchLimit));
    if (!seen) {
      Log(log_level::kInfo, log_event::kConfigurationRelisted);
      co_return;
    }
    version = *seen;
  }
}

awaitable<bool> configuration_follower::Apply(configuration_manifest manifest) {
  const std::uint64_t in_force =
      process_.revision_in_force.load(std::memory_order_acquire);
  if (manifest.revision <= in_force) {
    co_return true;
  }
  const auto files = co_await Fetch(manifest);
  if (!files) {
    co_return false;
  }
  const auto accepted = DecodeOrLog(*files, manifest.revision);
  if (!accepted) {
    co_return true;
  }
  PutInForce(*accepted);
  co_return true;
}

awaitable<std::optional<std::vector<configuration_file>>>
configuration_follower::Fetch(const configuration_manifest& manifest) {
  std::vector<configuration_file> files;
  std::map<std::string, std::string> texts;
  for (const manifest_entry& entry : manifest.files) {
    const auto held = texts_.find(entry.digest);
    std::string text;
    if (held != texts_.end()) {
      text = held->second;
    } else {
      const auto object = co_await store_.Get(
          kFileKind, entry.digest,
          deadline::After(process_.clock.Now(), kCallLimit));
      const auto parsed = object ? ParseJson(object->value) : std::nullopt;
      const auto body = parsed ? StringMember(*parsed, "text") : std::nullopt;
      if (!body || Sha256Hex(*body) != entry.digest) {
        Log(log_level::kWarning, log_event::kObjectApiUnavailable,
            {{"file", entry.name}});
        co_return std::nullopt;
      }
      text = *body;
    }
    texts[entry.digest] = text;
    files.push_back({entry.name, std::move(text)});
  }
  texts_ = std::move(texts);
  co_return files;
}

void configuration_follower::PutInForce(const configuration& accepted) {
  topology_builder builder;
  builder.Configuration(accepted);
  std::unique_ptr<const topology> next;
  {
    const rcu_read_guard guard;
    builder.KeepLinks(process_.world.Read(guard));
    next = builder.Build();
  }
  process_.world.Publish(std::move(next));
  process_.revision_in_force.store(accepted.revision,
                                   std::memory_order_release);
  Log(log_level::kInfo, log_event::kConfigurationInForce,
      {{"revision", std::to_string(accepted.revision)},
       {"services", std::to_string(accepted.services.size())},
       {"upstreams", std::to_string(accepted.upstreams.size())}});
}

awaitable<void> configuration_follower::Pause() {
  net::steady_timer timer(executor_);
  timer.expires_after(kRetryPause);
  co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

}  // namespace anvilloom
