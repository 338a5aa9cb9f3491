// Defines load_poller, which polls the load of the engines that this entry
// instance owns, sends it to the other instances of the region, and updates the
// links with the load of all engines.
#ifndef ENTRY_LOAD_POLLER_H_
#define ENTRY_LOAD_POLLER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/process_state.h"
#include "links/load_owner.h"
#include "links/load_report_sequencer.h"
#include "wire/http_client.h"
#include "wire/load_codec.h"

namespace anvilloom {

// Runs on the control thread; not thread-safe except where noted.
class load_poller {
 public:
  load_poller(process_state& process, boost::asio::any_io_executor executor);

  // Polls at intervals until the context stops. Returns immediately if polling
  // is disabled in the settings.
  awaitable<void> Run();

  // Applies the newer reports in another instance's summary. Thread-safe.
  void ReceiveSummary(load_summary summary);

 private:
  // An engine in this instance's region, copied from the topology.
  struct engine {
    std::string name;
    std::uint64_t name_hash = 0;
    std::string address;
    std::string domain;
    std::shared_ptr<link> path;
    // Version last sent to the other instances; zero if none.
    std::uint64_t sent_version = 0;
    bool responsive = true;
  };
  struct polling_round;

  // Copies the engines again if the topology has a new revision.
  void RefreshEngines();
  // The engines that this instance owns under the current membership.
  std::vector<std::shared_ptr<engine>> ListOwnedEngines() const;
  // Peer addresses of the other members in the region.
  std::vector<std::string> ListRegionPeers() const;
  void LogOwnership(std::span<const std::shared_ptr<engine>> owned);
  awaitable<void> PollOwned();
  awaitable<void> Poll(std::shared_ptr<polling_round> round,
                       std::shared_ptr<engine> polled);
  awaitable<std::optional<polled_load>> FetchLoad(std::string address,
                                                  deadline until);
  void RecordLoad(polling_round& round,
                  engine& polled,
                  const polled_load& load,
                  time_point requested_at);
  void SendSummary(const polling_round& round);
  void ApplySummary(const load_summary& summary);

  process_state& process_;
  boost::asio::any_io_executor executor_;
  http_client client_;
  load_report_sequencer sequencer_;
  std::uint32_t round_ = 0;
  std::uint64_t revision_ = 0;
  std::string region_;
  std::vector<std::shared_ptr<engine>> engines_;
  std::unordered_map<std::uint32_t, std::shared_ptr<engine>> engine_by_id_;
  std::set<std::string> owned_names_;
};

}  // namespace anvilloom

#endif  // ENTRY_LOAD_POLLER_H_
