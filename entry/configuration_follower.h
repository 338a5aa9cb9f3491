// Defines configuration_follower, which keeps the configuration in force at
// the newest accepted revision.
#ifndef ENTRY_CONFIGURATION_FOLLOWER_H_
#define ENTRY_CONFIGURATION_FOLLOWER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

 private:
  // Lists, applies what is newer, then watches. Returns on any failure.
  awaitable<void> ListAndWatch();
  awaitable<bool> Apply(configuration_manifest manifest);
  awaitable<std::optional<std::vector<configuration_file>>> Fetch(
      const configuration_manifest& manifest);
  void PutInForce(const configuration& accepted);
  awaitable<void> Pause();

  process_state& process_;
  boost::asio::any_io_executor executor_;
  http_object_store store_;
  // Texts of the files in force, by digest.
  std::map<std::string, std::string> texts_;
};

}  // namespace anvilloom

#endif  // ENTRY_CONFIGURATION_FOLLOWER_H_
