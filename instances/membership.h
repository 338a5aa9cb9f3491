// Defines membership, which entry instances are alive, as one of them sees it:
// a failure detector in the style of SWIM, with random probes, indirect
// probes, suspicion, incarnation numbers and updates carried by the probes.
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

// What an entry instance tells the others about itself.
struct member_profile {
  std::string name;
  // IP address and port of the peer transport and of the callers' port.
  std::string peer_address;
  std::string http_address;
  std::string domain;
  // Distinguishes runs of a process that has the same name.
  std::string epoch;
  // Set once a planned stop has begun: it takes over no work any more.
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
  // Number of the probe, chosen by the instance that wants the ack.
  std::uint64_t sequence = 0;
  // Where an indirect probe is to be sent.
  std::string target_address;
  // Newest configuration revision that the sender has in force.
  std::uint64_t revision = 0;
  // In a probe: asks for the members whose names follow this one. In an ack:
  // the last name of the page, or nothing after the last page.
  std::optional<std::string> page;
  // The first update is the sender's own.
  std::vector<member_update> updates;
};

// Upper bound of the encoded size of an update, in bytes. The encoding is in
// wire/peer_codec; a test compares the two.
std::size_t EncodedBound(const member_update& update);

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
  kSelfRefuted,  // This instance was taken for failed and said that it lives.
  kSelfResumed,  // This instance has not run for a while.
};

// A change that an operator may want to see.
struct membership_event {
  membership_event_kind kind;
  std::string name;
};

// What the caller of a membership has to do. Appended to, so that a buffer can
// be reused.
struct membership_effects {
  std::vector<membership_outgoing> sends;
  std::vector<membership_event> events;
};

// A member that is taken to be alive.
struct live_member {
  member_profile profile;
  bool suspect = false;
};

// Members at one moment, this instance included, in the order of their names.
struct membership_snapshot {
  std::vector<live_member> live;
  // Members that have failed or left and are still remembered.
  std::vector<member_profile> gone;
  // When this instance joined, or joined again after it was taken for failed.
  time_point joined_at;
};

// Times and bounds. The defaults are those that docs/membership.md measures.
struct membership_settings {
  // Time between two probes, in microseconds.
  duration probe_period = std::chrono::milliseconds(500);
  // Time to a direct ack, after which other members are asked to probe.
  duration direct_limit = std::chrono::milliseconds(200);
  std::size_t indirect_probes = 3;
  // A suspicion lasts this long times log2(members + 2).
  duration suspicion_unit = std::chrono::milliseconds(1000);
  // Time between two attempts to reach a failed member or a seed.
  duration reconnect_period = std::chrono::seconds(4);
  // Time after which a page of members is asked for again while joining.
  duration page_retry = std::chrono::milliseconds(500);
  // A pause between two ticks that is longer than this counts as a stop of the
  // process, during which others may have taken it for failed.
  duration pause_limit = std::chrono::seconds(2);
  // How long failed members are remembered; longer than the partitions of an
  // hour that are expected.
  duration forget_after = std::chrono::hours(2);
  // Bound of the updates of one message, in bytes: with its headers, a message
  // fits in one Ethernet frame.
  std::size_t update_bytes = 1200;
  // Members chosen at random that each message repeats, so that instances
  // which missed an update converge.
  std::size_t repeated_members = 1;
};

// Not thread-safe. Time and random numbers are arguments and effects are
// returned, so a test can run many of them in virtual time.
class membership {
 public:
  membership(member_profile self,
             const membership_settings& settings,
             time_point now);

  // Addresses to try while no member is known, and now and then afterwards.
  void SetSeeds(std::span<const std::string> peer_addresses);
  // The revision that messages announce.
  void SetRevision(std::uint64_t revision) { revision_ = revision; }

  // Call about every 100 ms. `random` is a fresh random number.
  void Tick(time_point now, std::uint64_t random, membership_effects& out);
  void Receive(const membership_message& message,
               time_point now,
               std::uint64_t random,
               membership_effects& out);
  // Announces that a planned stop has begun; the instance is still probed.
  void StartLeaving();
  // Tells a few members that this instance is gone.
  void Leave(std::uint64_t random, membership_effects& out);

  // Changes whenever a snapshot would change.
  std::uint64_t version() const { return version_; }
  membership_snapshot Snapshot() const;
  // The latest update about another member; null if none is remembered.
  const member_update* Find(std::string_view name) const;
  // Members taken to be alive, this instance included.
  std::size_t live_count() const { return live_count_ + 1; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct member {
    member_update latest;
    // When the present state began.
    time_point since;
    // End of the suspicion.
    deadline suspect_until = deadline::Never();
    // How often the latest update is still to be sent.
    std::uint32_t spreads_left = 0;
  };
  // The probe that waits for its ack.
  struct pending_probe {
    std::uint64_t sequence;
    std::string name;
    deadline direct_until;
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

  void ObservePause(time_point now, membership_effects& out);
  void ShiftDeadlines(duration by);
  void AdvanceProbe(time_point now,
                    std::uint64_t random,
                    membership_effects& out);
  void StartProbe(time_point now,
                  std::uint64_t random,
                  membership_effects& out);
  void EndSuspicions(time_point now, membership_effects& out);
  void Reconnect(time_point now, std::uint64_t random, membership_effects& out);
  void AskForPage(time_point now,
                  std::uint64_t random,
                  membership_effects& out);
  void Forget(time_point now);

  void Apply(const member_update& update,
             time_point now,
             membership_effects& out);
  void ApplyToSelf(const member_update& update,
                   time_point now,
                   membership_effects& out);
  void Suspect(member& suspected, time_point now, membership_effects& out);
  void SetState(member& changed, member_state state, time_point now);
  void AnswerProbe(const membership_message& message,
                   std::uint64_t random,
                   membership_effects& out);
  void RelayProbe(const membership_message& message,
                  time_point now,
                  std::uint64_t random,
                  membership_effects& out);
  void TakeAck(const membership_message& message,
               time_point now,
               std::uint64_t random,
               membership_effects& out);

  membership_message MakeMessage(membership_message_kind kind,
                                 std::uint64_t sequence) const;
  // Adds what `recipient` should know, within the bound, and sends.
  void Send(std::string_view to_address,
            std::string_view recipient,
            membership_message message,
            std::uint64_t random,
            membership_effects& out);
  void AddNews(membership_message& message, std::size_t& room);
  void AddRepeated(membership_message& message,
                   std::size_t& room,
                   std::uint64_t random) const;
  void AddPage(membership_message& message, std::string_view after) const;
  void Spread(member& changed) const;

  member_update OwnUpdate() const;
  const member* FindByAddress(std::string_view peer_address) const;
  std::vector<const member*> Live() const;
  std::uint32_t SpreadLimit() const;
  duration SuspicionTime() const;

  member_profile self_;
  membership_settings settings_;
  std::uint64_t incarnation_ = 1;
  bool left_ = false;
  std::uint64_t revision_ = 0;
  std::map<std::string, member, std::less<>> members_;
  std::size_t live_count_ = 0;
  std::vector<std::string> seeds_;
  std::uint64_t next_sequence_ = 1;
  // Names in the order in which they are probed.
  std::vector<std::string> probe_order_;
  std::optional<pending_probe> pending_;
  std::vector<relayed_probe> relayed_;
  time_point last_tick_;
  deadline next_probe_;
  deadline next_reconnect_;
  deadline next_page_;
  // The name after which the next page of members begins, while joining.
  std::optional<std::string> page_after_ = "";
  std::uint64_t page_sequence_ = 0;
  time_point joined_at_;
  std::uint64_t version_ = 1;
};

}  // namespace anvilloom

#endif  // INSTANCES_MEMBERSHIP_H_
