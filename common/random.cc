#include "common/random.h"

#include <random>

namespace anvilloom {

namespace {

split_mix& ThreadGenerator() {
  thread_local split_mix generator{std::random_device()()};
  return generator;
}

}  // namespace

void thread_random::Seed(std::uint64_t seed) {
  ThreadGenerator() = split_mix(seed);
}

std::uint64_t thread_random::Next() {
  return ThreadGenerator().Next();
}

}  // namespace anvilloom
