// Defines membership, one entry instance's view of which entry instances are
// alive. It is a failure detector in the style of SWIM, with random probes,
// indirect probes, suspicion, incarnation numbers and updates piggybacked on
// the probes.
#ifndef INSTANCES_MEMBERSHIP_H_
#define INSTANCES_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"

namespace anvilloom {

// Properties that an entry instance announces about itself.
struct member_profile {
  std::string name;
  // IP address and port of the peer transport, and of the HTTP listener for
  // callers.
  std::string peer_address;
  std::string http_address;
  std::string domain;
  // Distinguishes successive runs of a process with the same name.
  std::string epoch;
  // Set once a planned shutdown has begun: the instance takes over no more
  // work.
  bool leaving = false;

  friend bool operator==(const member_profile&,
                         const member_profile&) = default;
};

enum class member_state : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

// A statement about a member. A larger incarnation overrides a smaller one; at
// the same incarnation, a later state in member_state overrides an earlier one.
// Only kAlive carries the whole profile; the others carry the name.
struct member_update {
  member_profile profile;
  member_state state = member_state::kAlive;
  std::uint64_t incarnation = 0;
};

enum class membership_message_kind : std::uint8_t {
  kProbe,
  kProbeAck,
  kIndirectProbe,
};

// A message between two entry instances.
struct membership_message {
  membership_message_kind kind = membership_message_kind::kProbe;
  // Number of the probe, chosen by the instance that expects the ack.
  std::uint64_t sequence = 0;
  // Target of an indirect probe.
  std::string target_address;
  // Configuration revision that the sender has applied.
  std::uint64_t revision = 0;
  // In a probe, a name: requests a page of the members whose names follow it.
  // In an ack, the last name on the page, or nothing if it is the last page.
  std::optional<std::string> page;
  // The first update is the sender's own.
  std::vector<member_update> updates;
};

// Upper bound of the encoded size of an update, in bytes. Must match the
// encoding in wire/peer_codec, which a test verifies.
std::size_t MaxEncodedSize(const member_update& update);

// A message to send.
struct membership_outgoing {
  std::string to_address;
  membership_message message;
};

enum class membership_event_kind : std::uint8_t {
  kJoined,
  kSuspected,
  kRecovered,
  kFailed,
  kLeft,
  kSelfRefuted,  // This instance was declared failed and refuted it.
  kSelfResumed,  // This instance resumed after a pause of its process.
};

// A membership change, for the operator's log.
struct membership_event {
  membership_event_kind kind;
  std::string name;
};

// Messages and events that the caller of a membership must process. Functions
// append to it, so that a buffer can be reused.
struct membership_effects {
  std::vector<membership_outgoing> sends;
  std::vector<membership_event> events;
};

// A member that is considered alive.
struct live_member {
  member_profile profile;
  bool suspect = false;
};

// The members at one point in time, including this instance, sorted by name.
struct membership_snapshot {
  std::vector<live_member> live;
  // Members that have failed or left and have not been removed yet.
  std::vector<member_profile> gone;
  // When this instance joined, or rejoined after it was declared failed.
  time_point joined_at;
};

// Timing and size limits. docs/membership.md gives the figures for the
// defaults.
struct membership_settings {
  // Time between two probes, in microseconds.
  duration probe_period = std::chrono::milliseconds(500);
  // Time to wait for a direct ack before other members are asked to probe.
  duration direct_ack_timeout = std::chrono::milliseconds(200);
  std::size_t indirect_probes = 3;
  // A suspicion lasts for this time multiplied by log2(members + 2).
  duration suspicion_unit = std::chrono::milliseconds(1000);
  // Time between attempts to reach a failed member or a seed.
  duration reconnect_period = std::chrono::seconds(4);
  // Time after which a page of members is requested again while joining.
  duration page_retry_interval = std::chrono::milliseconds(500);
  // A longer time between two ticks counts as a pause of the process, during
  // which others may have declared it failed.
  duration pause_threshold = std::chrono::seconds(2);
  // How long failed members are kept. Must exceed the longest partition
  // expected, which is one hour, so that the sides can reconnect.
  duration gone_retention = std::chrono::hours(2);
  // Maximum size of the updates of one message, in bytes. Keeps a message with
  // its headers within one Ethernet frame.
  std::size_t max_update_bytes = 1200;
  // Number of random members whose state is added to each message, so that
  // instances which missed an update converge.
  std::size_t random_members = 1;
};

// Not thread-safe. Time and random numbers are arguments and effects are
// returned, so a test can run many instances in virtual time.
class membership {
 public:
  membership(member_profile self,
             const membership_settings& settings,
             time_point now);

  // Sets the addresses that are probed while no member is known, and
  // periodically afterwards.
  void SetSeeds(std::span<const std::string> peer_addresses);
  // Sets the configuration revision that messages announce.
  void SetRevision(std::uint64_t revision) { revision_ = revision; }

  // Runs the timers. Call about every 100 ms. `random` is a new random number.
  void Tick(time_point now, std::uint64_t random, membership_effects& out);
  void Receive(const membership_message& message,
               time_point now,
               std::uint64_t random,
               membership_effects& out);
  // Announces that a planned shutdown has begun. The instance is still probed.
  void StartLeaving();
  // Notifies a few members that this instance has left. Later calls of Tick()
  // and Receive() do nothing.
  void Leave(std::uint64_t random, membership_effects& out);

  // Changes whenever the result of Snapshot() changes.
  std::uint64_t version() const { return version_; }
  membership_snapshot Snapshot() const;
  // Returns the latest update about another member, or null if it is unknown.
  const member_update* Find(std::string_view name) const;
  // Number of members considered alive, including this instance.
  std::size_t live_count() const { return live_count_ + 1; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct member {
    member_update latest;
    // When the current state began.
    time_point since;
    // End of the suspicion.
    deadline suspect_until = deadline::Never();
    // Remaining number of transmissions of the latest update.
    std::uint32_t transmits_left = 0;
  };
  // The outstanding probe of this instance.
  struct pending_probe {
    std::uint64_t sequence;
    std::string name;
    deadline direct_deadline;
    deadline until;
    bool indirect_sent = false;
  };
  // A probe sent on behalf of another member.
  struct relayed_probe {
    std::uint64_t sequence;
    std::uint64_t origin_sequence;
    std::string origin_address;
    deadline until;
  };

  void DetectPause(time_point now, membership_effects& out);
  void ShiftDeadlines(duration by);
  void AdvanceProbe(time_point now,
                    std::uint64_t random,
                    membership_effects& out);
  void StartProbe(time_point now,
                  std::uint64_t random,
                  membership_effects& out);
  void ExpireSuspicions(time_point now, membership_effects& out);
  void Reconnect(time_point now, std::uint64_t random, membership_effects& out);
  void RequestPage(time_point now,
                   std::uint64_t random,
                   membership_effects& out);
  void RemoveExpired(time_point now);

  void Apply(const member_update& update,
             time_point now,
             membership_effects& out);
  void ApplyToSelf(const member_update& update,
                   time_point now,
                   membership_effects& out);
  void Suspect(member& suspected, time_point now, membership_effects& out);
  void SetState(member& changed, member_state state, time_point now);
  void HandleProbe(const membership_message& message,
                   std::uint64_t random,
                   membership_effects& out);
  void RelayProbe(const membership_message& message,
                  time_point now,
                  std::uint64_t random,
                  membership_effects& out);
  void HandleAck(const membership_message& message,
                 time_point now,
                 std::uint64_t random,
                 membership_effects& out);

  membership_message MakeMessage(membership_message_kind kind,
                                 std::uint64_t sequence) const;
  // Adds updates for `recipient` up to the size limit, and sends the message.
  void Send(std::string_view to_address,
            std::string_view recipient,
            membership_message message,
            std::uint64_t random,
            membership_effects& out);
  void AddQueuedUpdates(membership_message& message, std::size_t& bytes_left);
  void AddRandomMembers(membership_message& message,
                        std::size_t& bytes_left,
                        std::uint64_t random) const;
  void AddPage(membership_message& message, std::string_view after) const;
  void QueueUpdate(member& changed) const;

  member_update OwnUpdate() const;
  const member* FindByAddress(std::string_view peer_address) const;
  std::vector<const member*> Live() const;
  std::uint32_t TransmitCount() const;
  duration SuspicionDuration() const;

  member_profile self_;
  membership_settings settings_;
  std::uint64_t incarnation_ = 1;
  bool left_ = false;
  std::uint64_t revision_ = 0;
  std::map<std::string, member, std::less<>> members_;
  std::size_t live_count_ = 0;
  std::vector<std::string> seeds_;
  std::uint64_t next_sequence_ = 1;
  // Names that are still to be probed in this cycle, last one first.
  std::vector<std::string> probe_order_;
  std::optional<pending_probe> pending_;
  std::vector<relayed_probe> relayed_;
  time_point last_tick_;
  deadline next_probe_;
  deadline next_reconnect_;
  deadline next_page_;
  // While joining, the name after which the next page of members begins.
  std::optional<std::string> page_after_ = "";
  std::uint64_t page_sequence_ = 0;
  time_point joined_at_;
  std::uint64_t version_ = 1;
};

}  // namespace anvilloom

#endif  // INSTANCES_MEMBERSHIP_H_
