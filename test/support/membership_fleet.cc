#include "test/support/membership_fleet.h"

#include <algorithm>
#include <utility>

#include "wire/peer_codec.h"

namespace anvilloom {

namespace {

constexpr duration kTick = std::chrono::milliseconds(100);
constexpr std::int64_t kMinDelayUs = 200;
constexpr std::int64_t kDelayRangeUs = 3000;
constexpr std::uint64_t kPermille = 1000;

}  // namespace

membership_fleet::membership_fleet(const membership_fleet_options& options)
    : options_(options), random_(options.seed), nodes_(options.members) {
  for (std::size_t i = 0; i < options.members; ++i) {
    node& each = nodes_[i];
    each.domain = i % options.domains;
    each.profile.name = "entry-" + std::to_string(1000 + i);
    each.profile.peer_address = "10.20." + std::to_string(100 + i / 100) + "." +
                                std::to_string(100 + i % 100) + ":7000";
    each.profile.http_address = "10.20." + std::to_string(100 + i / 100) + "." +
                                std::to_string(100 + i % 100) + ":8080";
    each.profile.domain = "zone-" + std::to_string(10 + each.domain);
    by_address_[each.profile.peer_address] = i;
    by_name_[each.profile.name] = i;
  }
  for (std::size_t i = 0; i < options.members; ++i) {
    Start(i);
  }
}

void membership_fleet::Start(std::size_t index) {
  node& started = nodes_[index];
  started.running = true;
  started.paused = false;
  started.waiting.clear();
  started.profile.epoch = "epoch" + std::to_string(100 + started.runs++);
  started.state =
      std::make_unique<membership>(started.profile, options_.settings, now_);
  const std::vector<std::string> seeds = {
      nodes_[0].profile.peer_address,
      nodes_[nodes_.size() / 2].profile.peer_address};
  started.state->SetSeeds(seeds);
  const duration phase(static_cast<duration::rep>(Random() % kTick.count()));
  queue_.push({now_ + phase, next_order_++, index, nullptr});
}

void membership_fleet::Run(duration span) {
  const time_point end = now_ + span;
  while (!queue_.empty() && queue_.top().at <= end) {
    Step();
  }
  now_ = end;
}

void membership_fleet::Step() {
  const delivery due = queue_.top();
  queue_.pop();
  now_ = due.at;
  Handle(due);
}

void membership_fleet::Handle(const delivery& due) {
  node& to = nodes_[due.to];
  if (due.message == nullptr) {
    // The ticks of a killed member end; Restart() schedules new ones.
    if (!to.running) {
      return;
    }
    queue_.push({now_ + kTick, next_order_++, due.to, nullptr});
  }
  if (!to.running) {
    return;
  }
  if (to.paused) {
    if (due.message != nullptr) {
      to.waiting.push_back(*due.message);
    }
    return;
  }
  membership_effects effects;
  if (due.message == nullptr) {
    to.state->Tick(now_, Random(), effects);
  } else {
    to.state->Receive(*due.message, now_, Random(), effects);
  }
  Perform(due.to, effects);
}

void membership_fleet::Perform(std::size_t from,
                               const membership_effects& effects) {
  for (const membership_outgoing& outgoing : effects.sends) {
    Transmit(from, outgoing);
  }
  for (const membership_event& event : effects.events) {
    const auto found = by_name_.find(event.name);
    if (found == by_name_.end()) {
      continue;
    }
    const node& about = nodes_[found->second];
    const bool reachable =
        about.running && !about.paused && Connected(nodes_[from], about);
    if (reachable && event.kind == membership_event_kind::kFailed) {
      ++false_failures_;
    }
    if (reachable && event.kind == membership_event_kind::kSuspected) {
      ++false_suspicions_;
    }
  }
}

void membership_fleet::Transmit(std::size_t from,
                                const membership_outgoing& outgoing) {
  peer_message wrapped;
  wrapped.from_address = nodes_[from].profile.peer_address;
  wrapped.body = outgoing.message;
  const std::string bytes = EncodePeerMessage(wrapped);
  sent_bytes_ += bytes.size();
  largest_message_ = std::max(largest_message_, bytes.size());
  const auto to = by_address_.find(outgoing.to_address);
  if (to == by_address_.end() || !nodes_[to->second].running ||
      !Connected(nodes_[from], nodes_[to->second]) ||
      Random() % kPermille < options_.loss_permille) {
    return;
  }
  // Delivers the decoded message, so that tests detect fields that the encoding
  // loses.
  auto decoded = DecodePeerMessage(bytes);
  if (!decoded) {
    return;
  }
  const duration delay(kMinDelayUs +
                       static_cast<duration::rep>(Random() % kDelayRangeUs));
  queue_.push({now_ + delay, next_order_++, to->second,
               std::make_shared<const membership_message>(
                   std::get<membership_message>(std::move(decoded->body)))});
}

bool membership_fleet::Connected(const node& left, const node& right) const {
  return !partitioned_domain_ || (left.domain == *partitioned_domain_) ==
                                     (right.domain == *partitioned_domain_);
}

void membership_fleet::Kill(std::size_t index) {
  nodes_[index].running = false;
}

void membership_fleet::Restart(std::size_t index) {
  Start(index);
}

void membership_fleet::Pause(std::size_t index) {
  nodes_[index].paused = true;
}

void membership_fleet::Continue(std::size_t index) {
  node& resumed = nodes_[index];
  resumed.paused = false;
  // Like messages in the socket buffer, these are received before the next
  // tick.
  for (const membership_message& message : std::exchange(resumed.waiting, {})) {
    membership_effects effects;
    resumed.state->Receive(message, now_, Random(), effects);
    Perform(index, effects);
  }
}

void membership_fleet::Leave(std::size_t index) {
  membership_effects effects;
  nodes_[index].state->Leave(Random(), effects);
  Perform(index, effects);
  nodes_[index].running = false;
}

void membership_fleet::PartitionDomain(std::size_t domain) {
  partitioned_domain_ = domain;
}

void membership_fleet::Heal() {
  partitioned_domain_.reset();
}

bool membership_fleet::Converged() const {
  const auto running =
      static_cast<std::size_t>(std::ranges::count_if(nodes_, &node::running));
  for (const node& each : nodes_) {
    if (!each.running) {
      continue;
    }
    if (each.state->live_count() != running) {
      return false;
    }
    for (const node& other : nodes_) {
      const member_update* seen = each.state->Find(other.profile.name);
      if (&other != &each && other.running &&
          (seen == nullptr || seen->profile.epoch != other.profile.epoch)) {
        return false;
      }
    }
  }
  return true;
}

std::optional<duration> membership_fleet::RunUntil(
    const std::function<bool()>& holds,
    duration limit) {
  const time_point begin = now_;
  while (!holds()) {
    if (now_ - begin > limit) {
      return std::nullopt;
    }
    Run(kTick);
  }
  return now_ - begin;
}

bool membership_fleet::AllDropped(std::size_t index) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i == index || !nodes_[i].running || nodes_[i].paused) {
      continue;
    }
    const member_update* seen =
        nodes_[i].state->Find(nodes_[index].profile.name);
    if (seen != nullptr && (seen->state == member_state::kAlive ||
                            seen->state == member_state::kSuspect)) {
      return false;
    }
  }
  return true;
}

void membership_fleet::ResetCounts() {
  false_failures_ = 0;
  false_suspicions_ = 0;
  sent_bytes_ = 0;
  largest_message_ = 0;
  counted_from_ = now_;
}

double membership_fleet::sent_bytes_per_second() const {
  const double seconds =
      std::chrono::duration<double>(now_ - counted_from_).count();
  const auto running =
      static_cast<double>(std::ranges::count_if(nodes_, &node::running));
  return static_cast<double>(sent_bytes_) / seconds / running;
}

}  // namespace anvilloom
