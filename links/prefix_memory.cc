#include "links/prefix_memory.h"

namespace anvilloom {

void prefix_memory::Remember(std::uint64_t prompt_hash) {
  slots_[prompt_hash % kSlots].store(prompt_hash, std::memory_order_relaxed);
}

bool prefix_memory::Holds(std::uint64_t prompt_hash) const {
  return slots_[prompt_hash % kSlots].load(std::memory_order_relaxed) ==
         prompt_hash;
}

void prefix_memory::Clear() {
  for (std::atomic<std::uint64_t>& slot : slots_) {
    slot.store(0, std::memory_order_relaxed);
  }
}

}  // namespace anvilloom
