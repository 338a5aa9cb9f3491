#include "instances/membership.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <utility>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Ticks are due every 100 ms. A longer gap means that this process was delayed,
// and that acks which arrived in the meantime may not have been read yet.
constexpr duration kLateTickThreshold = std::chrono::milliseconds(300);
// An update is sent about kTransmitFactor * log2(members + 2) times.
constexpr std::uint32_t kTransmitFactor = 3;
// Number of members that a leaving instance notifies directly.
constexpr std::size_t kLeaveFanout = 4;
// Encoded size of the tag, length, state, incarnation and flag of an update,
// and of the tag and length of each string, in bytes.
constexpr std::size_t kUpdateOverheadBytes = 20;
constexpr std::size_t kStringOverheadBytes = 3;
constexpr std::size_t kMaxRelayedProbes = 64;
// Maximum number of updates considered for one message; more never fit.
constexpr std::size_t kMaxQueuedUpdates = 64;

// A pseudo-random sequence derived from one random number.
class random_sequence {
 public:
  explicit random_sequence(std::uint64_t first) : state_(first) {}

  // Returns a number below `bound`, which must not be 0.
  std::size_t Below(std::size_t bound) {
    state_ = CombineHash(state_, bound);
    return static_cast<std::size_t>(state_ % bound);
  }

  template <typename T>
  void Shuffle(std::vector<T>& items) {
    for (std::size_t i = items.size(); i > 1; --i) {
      std::swap(items[i - 1], items[Below(i)]);
    }
  }

 private:
  std::uint64_t state_;
};

bool IsLive(member_state state) {
  return state == member_state::kAlive || state == member_state::kSuspect;
}

bool Supersedes(const member_update& update, const member_update& held) {
  return update.incarnation > held.incarnation ||
         (update.incarnation == held.incarnation && update.state > held.state);
}

// Keeps only the name, state and incarnation unless the state is kAlive, since
// other instances don't need the addresses in the other states.
member_update WithoutUnusedFields(const member_update& update) {
  if (update.state == member_state::kAlive) {
    return update;
  }
  member_update name_only;
  name_only.profile.name = update.profile.name;
  name_only.state = update.state;
  name_only.incarnation = update.incarnation;
  return name_only;
}

bool AddIfFits(membership_message& message,
               std::size_t& bytes_left,
               const member_update& update) {
  const member_update added = WithoutUnusedFields(update);
  const std::size_t size = MaxEncodedSize(added);
  if (size > bytes_left) {
    return false;
  }
  bytes_left -= size;
  message.updates.push_back(added);
  return true;
}

bool Contains(const membership_message& message, std::string_view name) {
  return std::ranges::any_of(message.updates, [&](const member_update& update) {
    return update.profile.name == name;
  });
}

}  // namespace

std::size_t MaxEncodedSize(const member_update& update) {
  const member_profile& profile = update.profile;
  std::size_t bound = kUpdateOverheadBytes;
  for (const std::string* text :
       {&profile.name, &profile.peer_address, &profile.http_address,
        &profile.domain, &profile.epoch}) {
    bound += text->empty() ? 0 : text->size() + kStringOverheadBytes;
  }
  return bound;
}

membership::membership(member_profile self,
                       const membership_settings& settings,
                       time_point now)
    : self_(std::move(self)),
      settings_(settings),
      last_tick_(now),
      next_probe_(now),
      next_reconnect_(now),
      next_page_(now),
      joined_at_(now) {}

void membership::SetSeeds(std::span<const std::string> peer_addresses) {
  seeds_.assign(peer_addresses.begin(), peer_addresses.end());
  std::erase(seeds_, self_.peer_address);
}

void membership::Tick(time_point now,
                      std::uint64_t random,
                      membership_effects& out) {
  if (left_) {
    return;
  }
  DetectPause(now, out);
  AdvanceProbe(now, CombineHash(random, 1), out);
  if (next_probe_.Expired(now)) {
    next_probe_ = deadline::After(now, settings_.probe_period);
    StartProbe(now, CombineHash(random, 2), out);
  }
  ExpireSuspicions(now, out);
  if (next_reconnect_.Expired(now)) {
    Reconnect(now, CombineHash(random, 3), out);
  }
  if (page_after_ && next_page_.Expired(now)) {
    RequestPage(now, CombineHash(random, 4), out);
  }
  RemoveExpired(now);
}

void membership::DetectPause(time_point now, membership_effects& out) {
  const duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap > kLateTickThreshold) {
    ShiftDeadlines(gap);
  }
  if (gap > settings_.pause_threshold) {
    // Others may have declared this instance failed. A larger incarnation
    // refutes that in advance, and the member list is fetched again.
    pending_.reset();
    ++incarnation_;
    ++version_;
    page_after_ = "";
    joined_at_ = now;
    out.events.push_back({membership_event_kind::kSelfResumed, self_.name});
  }
}

void membership::ShiftDeadlines(duration by) {
  if (pending_) {
    pending_->direct_deadline = deadline(pending_->direct_deadline.at() + by);
    pending_->until = deadline(pending_->until.at() + by);
  }
  for (auto& [name, held] : members_) {
    if (held.latest.state == member_state::kSuspect) {
      held.suspect_until = deadline(held.suspect_until.at() + by);
    }
  }
}

void membership::AdvanceProbe(time_point now,
                              std::uint64_t random,
                              membership_effects& out) {
  if (!pending_) {
    return;
  }
  const auto found = members_.find(pending_->name);
  if (found == members_.end() || !IsLive(found->second.latest.state)) {
    pending_.reset();
    return;
  }
  if (!pending_->indirect_sent && pending_->direct_deadline.Expired(now)) {
    pending_->indirect_sent = true;
    random_sequence numbers(random);
    std::vector<const member*> relays = Live();
    numbers.Shuffle(relays);
    std::size_t asked = 0;
    for (const member* relay_member : relays) {
      if (asked == settings_.indirect_probes) {
        break;
      }
      if (relay_member->latest.profile.name == pending_->name) {
        continue;
      }
      ++asked;
      membership_message message = MakeMessage(
          membership_message_kind::kIndirectProbe, pending_->sequence);
      message.target_address = found->second.latest.profile.peer_address;
      Send(relay_member->latest.profile.peer_address,
           relay_member->latest.profile.name, std::move(message),
           CombineHash(random, asked), out);
    }
  }
  if (pending_->until.Expired(now)) {
    Suspect(found->second, now, out);
    pending_.reset();
  }
}

void membership::StartProbe(time_point now,
                            std::uint64_t random,
                            membership_effects& out) {
  if (pending_) {
    return;
  }
  random_sequence numbers(random);
  if (live_count_ == 0) {
    if (!seeds_.empty()) {
      const std::string& seed = seeds_[numbers.Below(seeds_.size())];
      Send(seed, {},
           MakeMessage(membership_message_kind::kProbe, next_sequence_++),
           random, out);
    }
    return;
  }
  // Probes every member once in random order before any is probed again, which
  // bounds the time to the first probe of a failed member.
  for (int round = 0; round < 2; ++round) {
    while (!probe_order_.empty()) {
      const auto found = members_.find(probe_order_.back());
      probe_order_.pop_back();
      if (found == members_.end() || !IsLive(found->second.latest.state)) {
        continue;
      }
      pending_ = {next_sequence_++, found->first,
                  deadline::After(now, settings_.direct_ack_timeout),
                  deadline::After(now, settings_.probe_period), false};
      Send(found->second.latest.profile.peer_address, found->first,
           MakeMessage(membership_message_kind::kProbe, pending_->sequence),
           random, out);
      return;
    }
    for (const member* probed : Live()) {
      probe_order_.push_back(probed->latest.profile.name);
    }
    numbers.Shuffle(probe_order_);
  }
}

void membership::ExpireSuspicions(time_point now, membership_effects& out) {
  for (auto& [name, held] : members_) {
    if (held.latest.state == member_state::kSuspect &&
        held.suspect_until.Expired(now)) {
      SetState(held, member_state::kFailed, now);
      QueueUpdate(held);
      out.events.push_back({membership_event_kind::kFailed, name});
    }
  }
}

void membership::Reconnect(time_point now,
                           std::uint64_t random,
                           membership_effects& out) {
  next_reconnect_ = deadline::After(now, settings_.reconnect_period);
  std::vector<std::pair<std::string_view, std::string_view>> candidates;
  for (const auto& [name, held] : members_) {
    if (held.latest.state == member_state::kFailed) {
      candidates.emplace_back(held.latest.profile.peer_address, name);
    }
  }
  for (const std::string& seed : seeds_) {
    if (FindByAddress(seed) == nullptr) {
      candidates.emplace_back(seed, std::string_view());
    }
  }
  if (candidates.empty()) {
    return;
  }
  random_sequence numbers(random);
  const auto [address, name] = candidates[numbers.Below(candidates.size())];
  Send(address, name,
       MakeMessage(membership_message_kind::kProbe, next_sequence_++), random,
       out);
}

void membership::RequestPage(time_point now,
                             std::uint64_t random,
                             membership_effects& out) {
  const std::vector<const member*> live_members = Live();
  if (live_members.empty()) {
    return;
  }
  next_page_ = deadline::After(now, settings_.page_retry_interval);
  random_sequence numbers(random);
  const member_profile& asked =
      live_members[numbers.Below(live_members.size())]->latest.profile;
  page_sequence_ = next_sequence_++;
  membership_message message =
      MakeMessage(membership_message_kind::kProbe, page_sequence_);
  message.page = *page_after_;
  Send(asked.peer_address, asked.name, std::move(message), random, out);
}

void membership::RemoveExpired(time_point now) {
  const std::size_t erased = std::erase_if(members_, [&](const auto& held) {
    return !IsLive(held.second.latest.state) &&
           now - held.second.since > settings_.gone_retention;
  });
  if (erased > 0) {
    ++version_;
  }
}

void membership::Receive(const membership_message& message,
                         time_point now,
                         std::uint64_t random,
                         membership_effects& out) {
  if (left_ || message.updates.empty()) {
    return;
  }
  for (const member_update& update : message.updates) {
    Apply(update, now, out);
  }
  switch (message.kind) {
    case membership_message_kind::kProbe:
      HandleProbe(message, random, out);
      break;
    case membership_message_kind::kIndirectProbe:
      RelayProbe(message, now, random, out);
      break;
    case membership_message_kind::kProbeAck:
      HandleAck(message, now, random, out);
      break;
  }
}

void membership::HandleProbe(const membership_message& message,
                             std::uint64_t random,
                             membership_effects& out) {
  const member_profile& sender = message.updates.front().profile;
  membership_message ack =
      MakeMessage(membership_message_kind::kProbeAck, message.sequence);
  // A restarted process begins with a small incarnation, which does not
  // override the state of its earlier run. The ack carries that state, so that
  // the process can choose a larger incarnation.
  const auto held = members_.find(sender.name);
  if (held != members_.end() &&
      held->second.latest.profile.epoch != sender.epoch) {
    ack.updates.push_back(WithoutUnusedFields(held->second.latest));
  }
  if (message.page) {
    AddPage(ack, *message.page);
  }
  Send(sender.peer_address, sender.name, std::move(ack), random, out);
}

void membership::RelayProbe(const membership_message& message,
                            time_point now,
                            std::uint64_t random,
                            membership_effects& out) {
  std::erase_if(relayed_, [&](const relayed_probe& relay) {
    return relay.until.Expired(now);
  });
  if (relayed_.size() >= kMaxRelayedProbes) {
    return;
  }
  const std::uint64_t sequence = next_sequence_++;
  relayed_.push_back({sequence, message.sequence,
                      message.updates.front().profile.peer_address,
                      deadline::After(now, settings_.probe_period)});
  const member* target = FindByAddress(message.target_address);
  Send(message.target_address,
       target == nullptr ? std::string_view() : target->latest.profile.name,
       MakeMessage(membership_message_kind::kProbe, sequence), random, out);
}

void membership::HandleAck(const membership_message& message,
                           time_point now,
                           std::uint64_t random,
                           membership_effects& out) {
  if (pending_ && pending_->sequence == message.sequence) {
    pending_.reset();
    return;
  }
  if (page_after_ && message.sequence == page_sequence_) {
    page_after_ = message.page;
    next_page_ = deadline(now);
    return;
  }
  const auto relay =
      std::ranges::find(relayed_, message.sequence, &relayed_probe::sequence);
  if (relay != relayed_.end()) {
    const std::string origin = relay->origin_address;
    membership_message ack =
        MakeMessage(membership_message_kind::kProbeAck, relay->origin_sequence);
    relayed_.erase(relay);
    Send(origin, {}, std::move(ack), random, out);
  }
}

void membership::Apply(const member_update& update,
                       time_point now,
                       membership_effects& out) {
  const std::string& name = update.profile.name;
  if (name == self_.name) {
    ApplyToSelf(update, now, out);
    return;
  }
  const auto found = members_.find(name);
  if (found == members_.end()) {
    if (update.state != member_state::kAlive) {
      return;
    }
    member& added = members_.emplace(name, member{update, now}).first->second;
    ++live_count_;
    ++version_;
    QueueUpdate(added);
    out.events.push_back({membership_event_kind::kJoined, name});
    return;
  }
  member& held = found->second;
  if (!Supersedes(update, held.latest)) {
    return;
  }
  const member_state before = held.latest.state;
  held.latest.incarnation = update.incarnation;
  if (update.state == member_state::kAlive) {
    held.latest.profile = update.profile;
  }
  SetState(held, update.state, now);
  QueueUpdate(held);
  if (update.state == member_state::kSuspect &&
      before != member_state::kSuspect) {
    held.suspect_until = deadline::After(now, SuspicionDuration());
    out.events.push_back({membership_event_kind::kSuspected, name});
  } else if (update.state == member_state::kAlive &&
             before != member_state::kAlive) {
    out.events.push_back({IsLive(before) ? membership_event_kind::kRecovered
                                         : membership_event_kind::kJoined,
                          name});
  } else if (update.state == member_state::kFailed && IsLive(before)) {
    out.events.push_back({membership_event_kind::kFailed, name});
  } else if (update.state == member_state::kLeft && IsLive(before)) {
    out.events.push_back({membership_event_kind::kLeft, name});
  }
}

void membership::ApplyToSelf(const member_update& update,
                             time_point now,
                             membership_effects& out) {
  const bool is_other_run = update.state == member_state::kAlive &&
                            update.profile.epoch != self_.epoch;
  const bool is_wrong = update.state != member_state::kAlive || is_other_run;
  if (!is_wrong || update.incarnation < incarnation_) {
    return;
  }
  incarnation_ = update.incarnation + 1;
  ++version_;
  if (update.state == member_state::kFailed) {
    // The other members have taken over this instance's work.
    joined_at_ = now;
    out.events.push_back({membership_event_kind::kSelfRefuted, self_.name});
  }
}

void membership::Suspect(member& suspected,
                         time_point now,
                         membership_effects& out) {
  if (suspected.latest.state != member_state::kAlive) {
    return;
  }
  SetState(suspected, member_state::kSuspect, now);
  suspected.suspect_until = deadline::After(now, SuspicionDuration());
  QueueUpdate(suspected);
  out.events.push_back(
      {membership_event_kind::kSuspected, suspected.latest.profile.name});
}

void membership::SetState(member& changed, member_state state, time_point now) {
  const bool was_live = IsLive(changed.latest.state);
  if (was_live && !IsLive(state)) {
    --live_count_;
  } else if (!was_live && IsLive(state)) {
    ++live_count_;
  }
  if (changed.latest.state != state) {
    changed.since = now;
  }
  changed.latest.state = state;
  ++version_;
}

void membership::StartLeaving() {
  self_.leaving = true;
  ++incarnation_;
  ++version_;
}

void membership::Leave(std::uint64_t random, membership_effects& out) {
  random_sequence numbers(random);
  std::vector<const member*> recipients = Live();
  numbers.Shuffle(recipients);
  recipients.resize(std::min(recipients.size(), kLeaveFanout));
  ++incarnation_;
  left_ = true;
  for (const member* each : recipients) {
    membership_message message =
        MakeMessage(membership_message_kind::kProbeAck, 0);
    Send(each->latest.profile.peer_address, each->latest.profile.name,
         std::move(message), random, out);
  }
}

membership_snapshot membership::Snapshot() const {
  membership_snapshot snapshot;
  snapshot.joined_at = joined_at_;
  snapshot.live.reserve(live_count_ + 1);
  snapshot.live.push_back({self_, false});
  for (const auto& [name, held] : members_) {
    if (IsLive(held.latest.state)) {
      snapshot.live.push_back(
          {held.latest.profile, held.latest.state == member_state::kSuspect});
    } else {
      snapshot.gone.push_back(held.latest.profile);
    }
  }
  std::ranges::sort(snapshot.live, {}, [](const live_member& each) {
    return std::string_view(each.profile.name);
  });
  return snapshot;
}

membership_message membership::MakeMessage(membership_message_kind kind,
                                           std::uint64_t sequence) const {
  membership_message message;
  message.kind = kind;
  message.sequence = sequence;
  message.revision = revision_;
  message.updates.push_back(OwnUpdate());
  return message;
}

member_update membership::OwnUpdate() const {
  return {self_, left_ ? member_state::kLeft : member_state::kAlive,
          incarnation_};
}

void membership::Send(std::string_view to_address,
                      std::string_view recipient,
                      membership_message message,
                      std::uint64_t random,
                      membership_effects& out) {
  std::size_t bytes_left = settings_.max_update_bytes;
  for (const member_update& update : message.updates) {
    bytes_left -= std::min(bytes_left, MaxEncodedSize(update));
  }
  // Tells a recipient that it is suspected or declared failed, so that it can
  // refute this.
  const auto found = members_.find(recipient);
  if (found != members_.end() && !Contains(message, recipient) &&
      found->second.latest.state != member_state::kAlive) {
    AddIfFits(message, bytes_left, found->second.latest);
  }
  AddQueuedUpdates(message, bytes_left);
  AddRandomMembers(message, bytes_left, random);
  out.sends.push_back({std::string(to_address), std::move(message)});
}

void membership::AddQueuedUpdates(membership_message& message,
                                  std::size_t& bytes_left) {
  std::vector<member*> queued;
  for (auto& [name, held] : members_) {
    if (held.transmits_left > 0) {
      queued.push_back(&held);
    }
  }
  // Sends the updates with the most remaining transmissions first, so that a
  // burst of changes does not delay the newest.
  const std::size_t sent_count = std::min(queued.size(), kMaxQueuedUpdates);
  std::ranges::partial_sort(queued,
                            queued.begin() + static_cast<long>(sent_count),
                            std::greater<>(), &member::transmits_left);
  queued.resize(sent_count);
  for (member* each : queued) {
    if (!Contains(message, each->latest.profile.name) &&
        !AddIfFits(message, bytes_left, each->latest)) {
      break;
    }
    --each->transmits_left;
  }
}

void membership::AddRandomMembers(membership_message& message,
                                  std::size_t& bytes_left,
                                  std::uint64_t random) const {
  if (live_count_ == 0) {
    return;
  }
  random_sequence numbers(random);
  const std::vector<const member*> live_members = Live();
  for (std::size_t i = 0; i < settings_.random_members; ++i) {
    const member& repeated = *live_members[numbers.Below(live_members.size())];
    if (!Contains(message, repeated.latest.profile.name)) {
      AddIfFits(message, bytes_left, repeated.latest);
    }
  }
}

void membership::AddPage(membership_message& message,
                         std::string_view after) const {
  std::size_t bytes_left = settings_.max_update_bytes;
  for (const member_update& update : message.updates) {
    bytes_left -= std::min(bytes_left, MaxEncodedSize(update));
  }
  message.page.reset();
  for (auto next = members_.upper_bound(after); next != members_.end();
       ++next) {
    if (!IsLive(next->second.latest.state)) {
      continue;
    }
    // Listed as alive, since only updates with that state carry addresses, and
    // the page must include the addresses of suspected members.
    member_update listed = next->second.latest;
    listed.state = member_state::kAlive;
    if (!AddIfFits(message, bytes_left, listed)) {
      return;
    }
    message.page = next->first;
  }
  message.page.reset();
}

void membership::QueueUpdate(member& changed) const {
  changed.transmits_left = TransmitCount();
}

const member_update* membership::Find(std::string_view name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second.latest;
}

const membership::member* membership::FindByAddress(
    std::string_view peer_address) const {
  for (const auto& [name, held] : members_) {
    if (held.latest.profile.peer_address == peer_address) {
      return &held;
    }
  }
  return nullptr;
}

std::vector<const membership::member*> membership::Live() const {
  std::vector<const member*> live_members;
  live_members.reserve(live_count_);
  for (const auto& [name, held] : members_) {
    if (IsLive(held.latest.state)) {
      live_members.push_back(&held);
    }
  }
  return live_members;
}

std::uint32_t membership::TransmitCount() const {
  return kTransmitFactor *
         static_cast<std::uint32_t>(std::bit_width(live_count_ + 2));
}

duration membership::SuspicionDuration() const {
  const double factor = std::log2(static_cast<double>(live_count_ + 2));
  return duration(static_cast<duration::rep>(
      factor * static_cast<double>(settings_.suspicion_unit.count())));
}

}  // namespace anvilloom
