// Defines configuration_follower, which tracks the configuration manifest and
// activates the newest valid revision.
#ifndef ENTRY_CONFIGURATION_FOLLOWER_H_
#define ENTRY_CONFIGURATION_FOLLOWER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "entry/peer_service.h"
#include "entry/process_state.h"
#include "wire/configuration_json.h"
#include "wire/http_object_store.h"

namespace anvilloom {

// Not thread-safe; runs on the control thread.
class configuration_follower {
 public:
  configuration_follower(process_state& process,
                         boost::asio::any_io_executor executor);

  // Tracks the manifest until the context stops.
  awaitable<void> Run();

  // Callbacks for the peer service: other instances announce a revision or
  // request one. They may be called on any thread.
  configuration_handlers RelayCallbacks();

 private:
  // The revision that this instance serves to peers. Immutable once shared.
  struct served_revision {
    std::string manifest;
    std::map<std::string, std::string> texts;
  };

  // Lists the manifest, applies a newer revision, then watches for changes.
  // Returns on any failure.
  awaitable<void> ListAndWatch();
  // Whether this instance is one of the few in its failure domain that watch
  // the object API. The others rely on announcements and poll at long
  // intervals.
  bool IsWatcher() const;
  // `from_address` is the peer to fetch files from, or empty for the object
  // API. False if a file could not be fetched.
  awaitable<bool> Apply(configuration_manifest manifest,
                        std::string from_address);
  awaitable<std::optional<std::vector<configuration_file>>> Fetch(
      const configuration_manifest& manifest,
      std::string_view from_address);
  awaitable<std::optional<std::string>> FetchFile(
      const manifest_entry& entry,
      std::string_view from_address);
  awaitable<std::optional<std::string>> RequestFromPeer(
      std::string_view from_address,
      std::string_view digest);
  awaitable<void> FetchFromPeer(std::uint64_t revision,
                                std::string from_address);
  configuration_fetch_answer Serve(const configuration_fetch& request);
  void Activate(const configuration& accepted,
                const configuration_manifest& manifest);

  process_state& process_;
  boost::asio::any_io_executor executor_;
  http_object_store store_;
  // Contents of the files of the active revision, by digest.
  std::map<std::string, std::string> texts_;
  // Whether a revision is being fetched from a peer.
  bool fetching_from_peer_ = false;
  std::mutex mutex_;
  std::shared_ptr<const served_revision> served_;
};

}  // namespace anvilloom

#endif  // ENTRY_CONFIGURATION_FOLLOWER_H_
