// Defines membership_fleet, a deterministic simulation in virtual time of many
// memberships on a network with delay, loss and partitions.
#ifndef TEST_SUPPORT_MEMBERSHIP_FLEET_H_
#define TEST_SUPPORT_MEMBERSHIP_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "instances/membership.h"

namespace anvilloom {

// Options of a fleet. Members are distributed evenly over the failure domains.
struct membership_fleet_options {
  std::size_t members = 7;
  std::size_t domains = 3;
  std::uint64_t seed = 1;
  // Message loss rate in thousandths.
  std::uint32_t loss_permille = 0;
  membership_settings settings;
};

class membership_fleet {
 public:
  explicit membership_fleet(const membership_fleet_options& options);

  // Advances virtual time by `span`.
  void Run(duration span);

  void Kill(std::size_t index);
  // Starts a killed member again: same name and address, another epoch.
  void Restart(std::size_t index);
  // A paused member neither ticks nor receives. Its messages are queued.
  void Pause(std::size_t index);
  void Continue(std::size_t index);
  void Leave(std::size_t index);
  // Drops all messages between this domain and the others.
  void PartitionDomain(std::size_t domain);
  void Heal();

  const membership& at(std::size_t index) const { return *nodes_[index].state; }
  time_point now() const { return now_; }
  // Whether every running member considers exactly the running members alive.
  bool Converged() const;
  // Runs until `holds` returns true. Returns the time that it took, or nothing
  // if `limit` was exceeded.
  std::optional<duration> RunUntil(const std::function<bool()>& holds,
                                   duration limit);
  // Whether no other running, unpaused member considers `index` alive.
  bool AllDropped(std::size_t index) const;

  // Number of times a running, connected member was declared failed, or
  // suspected.
  std::size_t false_failures() const { return false_failures_; }
  std::size_t false_suspicions() const { return false_suspicions_; }
  // Resets all counters.
  void ResetCounts();
  // Encoded bytes sent per second by each running member since ResetCounts().
  double sent_bytes_per_second() const;
  double largest_message() const {
    return static_cast<double>(largest_message_);
  }

 private:
  struct node {
    std::unique_ptr<membership> state;
    member_profile profile;
    std::size_t domain = 0;
    bool running = true;
    bool paused = false;
    std::uint32_t runs = 1;
    std::vector<membership_message> waiting;
  };
  struct delivery {
    time_point at;
    std::uint64_t order;
    std::size_t to;
    // Null for a tick.
    std::shared_ptr<const membership_message> message;

    bool operator>(const delivery& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Start(std::size_t index);
  void Step();
  void Handle(const delivery& due);
  void Perform(std::size_t from, const membership_effects& effects);
  void Transmit(std::size_t from, const membership_outgoing& outgoing);
  bool Connected(const node& left, const node& right) const;
  std::uint64_t Random() { return random_(); }

  membership_fleet_options options_;
  std::mt19937_64 random_;
  time_point now_;
  std::uint64_t next_order_ = 0;
  std::vector<node> nodes_;
  std::map<std::string, std::size_t, std::less<>> by_address_;
  std::map<std::string, std::size_t, std::less<>> by_name_;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> queue_;
  std::optional<std::size_t> partitioned_domain_;
  std::size_t false_failures_ = 0;
  std::size_t false_suspicions_ = 0;
  std::uint64_t sent_bytes_ = 0;
  std::size_t largest_message_ = 0;
  time_point counted_from_;
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_MEMBERSHIP_FLEET_H_
