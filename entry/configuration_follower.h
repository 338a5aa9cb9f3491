// Defines configuration_follower, which keeps the configuration in force at
// the newest accepted revision.
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

// Runs on the control thread.
class configuration_follower {
 public:
  configuration_follower(process_state& process,
                         boost::asio::any_io_executor executor);

  // Follows the manifest until the context stops.
  awaitable<void> Run();

  // What the peer service calls when other instances announce a revision or
  // ask for one. The callbacks may run on any thread.
  configuration_relay Relay();

 private:
  // What this instance gives to peers. Immutable once it is shared.
  struct served_revision {
    std::string manifest;
    std::map<std::string, std::string> texts;
  };

  // Lists, applies what is newer, then watches. Returns on any failure.
  awaitable<void> ListAndWatch();
  // Whether this instance is one of the few of its failure domain that hold a
  // watch. The others rely on announcements and list now and then.
  bool IsWatcher() const;
  // `from_address` is the peer to take files from, or empty for the object API.
  awaitable<bool> Apply(configuration_manifest manifest,
                        std::string from_address);
  awaitable<std::optional<std::vector<configuration_file>>> Fetch(
      const configuration_manifest& manifest,
      std::string_view from_address);
  awaitable<std::optional<std::string>> FetchFile(
      const manifest_entry& entry,
      std::string_view from_address);
  awaitable<std::optional<std::string>> AskPeer(std::string_view from_address,
                                                std::string_view digest);
  awaitable<void> TakeFromPeer(std::uint64_t revision,
                               std::string from_address);
  configuration_fetch_answer Serve(const configuration_fetch& asked);
  void PutInForce(const configuration& accepted,
                  const configuration_manifest& manifest);

  process_state& process_;
  boost::asio::any_io_executor executor_;
  http_object_store store_;
  // Texts of the files in force, by digest.
  std::map<std::string, std::string> texts_;
  // Whether a revision is being taken from a peer.
  bool taking_ = false;
  std::mutex mutex_;
  std::shared_ptr<const served_revision> served_;
};

}  // namespace anvilloom

#endif  // ENTRY_CONFIGURATION_FOLLOWER_H_
