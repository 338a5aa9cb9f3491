// Defines gossip_fleet, a deterministic simulation of instances that learn of a
// store's changes with the product's own code, in virtual time.
#ifndef TEST_SUPPORT_GOSSIP_FLEET_H_
#define TEST_SUPPORT_GOSSIP_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "entry/announced_upstreams.h"
#include "entry/serving_view.h"
#include "instances/peer_report.h"
#include "instances/store_gossip.h"
#include "test/support/silent_log.h"

namespace anvilloom {

struct gossip_fleet_options {
  std::size_t instances = 7;
  // Instances that watch the store; the first ones.
  std::size_t watchers = 3;
  duration apply_time = std::chrono::seconds(2);
  std::uint64_t seed = 1;
  // Share of the datagrams that are lost.
  double loss = 0;
  // Range of the delay of a message, with the time to process it.
  duration min_delay = std::chrono::milliseconds(1);
  duration max_delay = std::chrono::milliseconds(15);
};

// What an instance has sent and called.
struct gossip_traffic {
  std::uint64_t datagrams = 0;
  std::uint64_t datagram_bytes = 0;
  std::uint64_t fetches = 0;
  std::uint64_t store_reads = 0;
};

class gossip_fleet {
 public:
  explicit gossip_fleet(const gossip_fleet_options& options);

  // Runs for a time. Checks every 10 ms that no instance takes its manifest for
  // one that may be in force longer than `apply_time` after a newer one was
  // written; see unsound().
  void Run(duration time);
  // Runs until `holds` returns true; returns the time that it took, or nothing
  // if it took longer than `limit`.
  std::optional<duration> RunUntil(const std::function<bool()>& holds,
                                   duration limit);

  // Changes in the store; they take effect at once.
  void PutManifest();
  void PutUpstream(std::size_t number, bool draining = false);
  void RemoveUpstream(std::size_t number);

  // Takes a copy of the store, and replaces the store by the last copy, which
  // begins a new era.
  void TakeCopy() { copy_ = store_; }
  void Recover();

  // Faults.
  void SetStoreReachable(std::size_t instance, bool reachable);
  void SetAllStoreReachable(bool reachable);
  // A stopped instance neither sends nor receives; it starts without state.
  void Stop(std::size_t instance);
  void Start(std::size_t instance);
  // A paused instance handles what has arrived when it continues.
  void Pause(std::size_t instance, duration time);
  // Delays all that the instance sends.
  void SetSendDelay(std::size_t instance, duration delay);
  // Instances of different groups don't hear each other.
  void SetGroup(std::size_t instance, std::size_t group);

  std::size_t size() const { return nodes_.size(); }
  std::uint64_t manifest_version() const { return store_.manifest_version; }
  // Whether all instances that run have the newest manifest, and know whether
  // an upstream gets work.
  bool AllHaveManifest() const;
  std::size_t CountHavingManifest() const;
  bool AllUse(std::size_t upstream, bool used) const;
  // Whether no instance holds its manifest in doubt.
  bool NoneInDoubt() const;
  bool AllInDoubt() const;
  // Oldest confirmation of an instance that runs.
  duration LargestAge() const;

  // Number of times at which an instance took an outdated manifest for one that
  // may be in force, and a description of the first.
  std::size_t unsound() const { return unsound_; }
  const std::string& first_unsound() const { return first_unsound_; }

  void ResetTraffic();
  gossip_traffic LargestTraffic() const;
  std::uint64_t StoreReads() const;
  // Most reads that began within 100 ms.
  std::size_t LargestReadBurst() const;

 private:
  struct node {
    std::unique_ptr<store_gossip> gossip;
    std::unique_ptr<serving_view_builder> builder;
    std::unique_ptr<announced_upstreams> upstreams;
    std::uint64_t manifest_version = 0;
    bool running = false;
    bool store_reachable = true;
    bool reading = false;
    bool fetching = false;
    bool telling_later = false;
    std::uint64_t watched_through = 0;
    time_point paused_until;
    duration send_delay{0};
    std::size_t group = 0;
    // Increases with each start.
    int life = 0;
    gossip_traffic traffic;
    std::vector<std::function<void()>> waiting;
  };
  struct store_state {
    std::uint64_t revision = 1;
    std::uint64_t manifest_version = 0;
    std::map<std::string, upstream_change> entries;
    // All changes by revision.
    std::map<std::uint64_t, upstream_change> changes;
  };
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;
    friend bool operator>(const event& left, const event& right) {
      return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
  };

  void At(time_point at, std::function<void()> run);
  // Runs a task of an instance, unless it has stopped in the meantime. A paused
  // instance runs it when it continues.
  void OnNode(std::size_t index, time_point at, std::function<void()> run);
  duration DrawDelay();
  void Tick(std::size_t index);
  void PollWatch(std::size_t index);
  void ReadStore(std::size_t index);
  void ApplyList(std::size_t index, const store_state& copy);
  // Handles a message from another instance, or the answer to a fetch that was
  // sent at `fetched_at`.
  void HandleMessage(std::size_t index,
                     const std::string& message,
                     std::optional<time_point> fetched_at = std::nullopt);
  // Sends a datagram, which may get lost.
  void Send(std::size_t from, std::size_t to, const peer_report& report);
  void Fetch(std::size_t index, std::size_t from);
  void Spread(std::size_t index);
  void RecordChange(upstream_change change);
  // Applies the delayed changes that are due, on all instances.
  void SweepUpstreams();
  void CheckSoundness();
  bool Runs(const node& each) const {
    return each.running && each.paused_until <= now_;
  }

  silent_log silent_;
  gossip_fleet_options options_;
  split_mix random_;
  time_point now_{std::chrono::seconds(1000)};
  time_point check_at_ = now_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  store_state store_;
  store_state copy_;
  // When each version of the manifest was written.
  std::map<std::uint64_t, time_point> manifest_written_;
  std::vector<node> nodes_;
  std::vector<time_point> reads_;
  std::size_t unsound_ = 0;
  std::string first_unsound_;
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_GOSSIP_FLEET_H_
