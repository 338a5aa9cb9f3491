#include "entry/process_state.h"

#include <cstdio>
#include <random>
#include <utility>

#include "common/log.h"

namespace anvilloom {

namespace {

std::string RandomEpoch() {
  std::random_device source;
  char text[9];
  std::snprintf(text, sizeof(text), "%08x", source());
  return text;
}

}  // namespace

process_state::process_state(entry_settings from)
    : settings(std::move(from)),
      memory(settings.process.memory_bytes),
      epoch(RandomEpoch()),
      world(topology_builder().Build()),
      members(std::make_unique<const membership_snapshot>()) {}

std::string process_state::RunName() const {
  return settings.name + kEpochSeparator + epoch;
}

bool process_state::ready() const {
  return revision_in_force.load(std::memory_order_acquire) > 0 &&
         !draining.load(std::memory_order_acquire) &&
         share.hold_down_end().Expired(clock.Now());
}

void process_state::RequestDrain() {
  drain.Request(deadline::After(
      clock.Now(), std::chrono::milliseconds(settings.drain_limit_ms)));
}

std::optional<service> process_state::FindService(std::string_view name) const {
  const rcu_read_guard guard;
  const topology& in_force = world.Read(guard);
  const auto found = in_force.FindService(name);
  return found ? std::optional(in_force.at(*found)) : std::nullopt;
}

void process_state::ObserveMembers(std::uint32_t live_members) {
  const std::uint32_t before = share.divisor();
  share.Update(live_members, clock.Now());
  policy.SetMembers(live_members);
  if (share.divisor() != before) {
    Log(log_level::kInfo, log_event::kLimitShareChanged,
        {{"members", std::to_string(live_members)},
         {"divisor", std::to_string(share.divisor())}});
  }
}

}  // namespace anvilloom
