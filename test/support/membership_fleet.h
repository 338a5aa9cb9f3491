// Defines membership_fleet, many memberships that exchange messages in virtual
// time over a network with delay, loss and cuts, from one seed.
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

// A fleet with members spread evenly over failure domains.
struct fleet_plan {
  std::size_t members = 7;
  std::size_t domains = 3;
  std::uint64_t seed = 1;
  // Share of messages lost, in thousandths.
  std::uint32_t loss_permille = 0;
  membership_settings settings;
};

class membership_fleet {
 public:
  explicit membership_fleet(const fleet_plan& plan);

  // Lets virtual time pass.
  void Run(duration span);

  void Kill(std::size_t index);
  // Starts a killed member again: same name and address, another epoch.
  void Restart(std::size_t index);
  // A paused member neither ticks nor reads; its messages wait.
  void Pause(std::size_t index);
  void Continue(std::size_t index);
  void Leave(std::size_t index);
  // Drops all messages between this domain and the others.
  void CutDomain(std::size_t domain);
  void Heal();

  const membership& at(std::size_t index) const { return *nodes_[index].state; }
  time_point now() const { return now_; }
  // Whether every running member holds exactly the running members for alive.
  bool Converged() const;
  // Runs until `holds`; the time it took, or nothing after `limit`.
  std::optional<duration> RunUntil(const std::function<bool()>& holds,
                                   duration limit);
  // Whether all running members, or those of one domain, hold `index` for
  // failed or gone.
  bool AllDropped(std::size_t index) const;

  // Members declared failed while they were running and connected.
  std::size_t false_failures() const { return false_failures_; }
  std::size_t false_suspicions() const { return false_suspicions_; }
  // Forgets what was counted so far.
  void ResetCounts();
  // Encoded bytes sent per running member and second since ResetCounts().
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
    // Nothing for a tick.
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

  fleet_plan plan_;
  std::mt19937_64 random_;
  time_point now_;
  std::uint64_t next_order_ = 0;
  std::vector<node> nodes_;
  std::map<std::string, std::size_t, std::less<>> by_address_;
  std::map<std::string, std::size_t, std::less<>> by_name_;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> queue_;
  std::optional<std::size_t> cut_domain_;
  std::size_t false_failures_ = 0;
  std::size_t false_suspicions_ = 0;
  std::uint64_t sent_bytes_ = 0;
  std::size_t largest_message_ = 0;
  time_point counted_from_;
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_MEMBERSHIP_FLEET_H_
