#include "links/prefix_memory.h"

#include <algorithm>

namespace anvilloom {

void prefix_memory::Remember(std::uint64_t prompt_hash) {
  slots_[prompt_hash % kSlots].store(prompt_hash, std::memory_order_relaxed);
}

bool prefix_memory::Holds(std::uint64_t prompt_hash) const {
  return slots_[prompt_hash % kSlots].load(std::memory_order_relaxed) ==
         prompt_hash;
}

std::size_t prefix_memory::size() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(slots_, [](const std::atomic<std::uint64_t>& slot) {
        return slot.load(std::memory_order_relaxed) != 0;
      }));
}

void prefix_memory::Clear() {
  for (std::atomic<std::uint64_t>& slot : slots_) {
    slot.store(0, std::memory_order_relaxed);
  }
}

}  // namespace anvilloom
