// Defines prefix_memory, a bounded record of the prompts that an upstream has
// computed lately and has probably cached.
#ifndef LINKS_PREFIX_MEMORY_H_
#define LINKS_PREFIX_MEMORY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace anvilloom {

// A table of prompt hashes in which a newer one replaces an older one of the
// same slot. Every member is atomic, so threads share it without locks; a lost
// entry costs a worse estimate, never a wrong answer.
class prefix_memory {
 public:
  void Remember(std::uint64_t prompt_hash);
  bool Holds(std::uint64_t prompt_hash) const;
  // Number of prompts that are remembered.
  std::size_t size() const;
  // Forgets everything, as the upstream has when its model changes.
  void Clear();

 private:
  static constexpr std::size_t kSlots = 256;

  std::array<std::atomic<std::uint64_t>, kSlots> slots_{};
};

}  // namespace anvilloom

#endif  // LINKS_PREFIX_MEMORY_H_
