#include "entry/process_state.h"

#include <cstdio>
#include <random>
#include <utility>

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
      epoch(RandomEpoch()),
      world(topology_builder().Build()) {}

bool process_state::ready() const {
  return revision_in_force.load(std::memory_order_acquire) > 0 &&
         !draining.load(std::memory_order_acquire);
}

}  // namespace anvilloom
