// Defines the random_source concept, split_mix, a small seeded generator, and
// thread_random, which uses a generator of the calling thread.
#ifndef COMMON_RANDOM_H_
#define COMMON_RANDOM_H_

#include <concepts>
#include <cstdint>

namespace anvilloom {

// A source of uniform 64-bit numbers.
template <typename T>
concept random_source = requires(T& source) {
  { source.Next() } -> std::same_as<std::uint64_t>;
};

// The SplitMix64 generator: eight bytes of state and no rejection loop.
class split_mix {
 public:
  explicit split_mix(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
  }
  // Uniform in [0, 1).
  double NextUnit() { return static_cast<double>(Next() >> 11U) * 0x1p-53; }
  // Uniform in [0, bound) with a bias below bound / 2^32. `bound` must be
  // positive.
  std::uint32_t NextBelow(std::uint32_t bound) {
    return static_cast<std::uint32_t>(((Next() >> 32U) * bound) >> 32U);
  }

 private:
  std::uint64_t state_;
};

// Uses one generator per thread, so that threads share no cache line.
// Thread-safe.
class thread_random {
 public:
  // Seeds the generator of the calling thread, which makes its numbers
  // reproducible.
  static void Seed(std::uint64_t seed);

  std::uint64_t Next();
};

}  // namespace anvilloom

#endif  // COMMON_RANDOM_H_
