// Guards the time and allocations of a routing decision against the aims of
// docs/design.md: no allocation, under 2 us at 257 engines, near-linear from
// one to eight threads. Processor time is measured, not wall time, since the
// machine may be shared.

#include <ctime>

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <new>
#include <thread>
#include <vector>

#include "common/rcu.h"
#include "links/least_cost.h"
#include "test/support/small_world.h"

namespace {

thread_local std::uint64_t t_allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++t_allocations;
  void* made = std::malloc(size);
  if (made == nullptr) {
    throw std::bad_alloc();
  }
  return made;
}

void operator delete(void* made) noexcept {
  std::free(made);
}

void operator delete(void* made, std::size_t /*size*/) noexcept {
  std::free(made);
}

namespace anvilloom {

namespace {

constexpr double kMaxDecisionUs = 2.0;
constexpr std::uint32_t kDecisions = 100'000;

double ThreadProcessorUs() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * 1e6 +
         static_cast<double>(spent.tv_nsec) / 1e3;
}

// What a thread spent per decision.
struct decision_cost {
  double us = 0;
  double allocations = 0;
};

std::unique_ptr<const topology> World(std::uint32_t engines) {
  small_world declared;
  for (std::uint32_t i = 0; i < engines; ++i) {
    declared.Upstream(i % 3 == 0 ? "a" : "b", 400'000 + 1'000 * (i % 7),
                      i % 2 == 0, 32);
  }
  return declared.Build();
}

// Routes requests as a serving thread does: read section, decision, counting
// on the link; a request ends when 64 later ones have begun.
decision_cost RouteMany(const rcu_cell<topology>& cell,
                        least_cost& policy,
                        std::uint64_t seed) {
  thread_random::Seed(seed);
  split_mix random(seed);
  std::array<link*, 64> running{};
  route_request request = ChatRequest();
  request.first_token_by = deadline::After(time_point{}, std::chrono::hours(1));
  const rcu_read_guard warm_up;
  const std::uint64_t allocations_before = t_allocations;
  const double before = ThreadProcessorUs();
  for (std::uint32_t i = 0; i < kDecisions; ++i) {
    const rcu_read_guard guard;
    const topology& world = cell.Read(guard);
    request.prefix_hash = random.Next() % 4096 * 0x9e3779b97f4a7c15U;
    const auto chosen = policy.Choose(
        world, request, time_point(std::chrono::microseconds(100'000'000 + i)));
    link& path = world.link_at(*chosen);
    path.Begin();
    link*& slot = running[i % running.size()];
    if (slot != nullptr) {
      slot->End();
    }
    slot = &path;
  }
  const double spent = ThreadProcessorUs() - before;
  const std::uint64_t allocated = t_allocations - allocations_before;
  for (link* path : running) {
    path->End();
  }
  return {spent / kDecisions, static_cast<double>(allocated) / kDecisions};
}

// The mean cost over `threads` threads that route at once.
decision_cost RouteOnThreads(const rcu_cell<topology>& cell,
                             least_cost& policy,
                             std::size_t threads) {
  std::vector<decision_cost> costs(threads);
  std::vector<std::thread> running;
  running.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) {
    running.emplace_back([&, i] { costs[i] = RouteMany(cell, policy, i + 1); });
  }
  decision_cost mean;
  for (std::size_t i = 0; i < threads; ++i) {
    running[i].join();
    mean.us += costs[i].us / static_cast<double>(threads);
    mean.allocations += costs[i].allocations / static_cast<double>(threads);
  }
  return mean;
}

}  // namespace

SCENARIO("A routing decision is cheap on one and on many threads",
         "[routing_cost]") {
  const std::uint32_t engines = GENERATE(12U, 257U);

  GIVEN(std::to_string(engines) + " engines") {
    const rcu_cell<topology> cell(World(engines));
    least_cost policy;

    THEN("it allocates nothing, takes under 2 us and scales to 8 threads") {
      const decision_cost alone = RouteOnThreads(cell, policy, 1);
      std::cout << "engines=" << engines
                << " threads=1 us/decision=" << alone.us
                << " decisions/s/core=" << 1e6 / alone.us
                << " allocations=" << alone.allocations << '\n';
      CHECK(alone.allocations == 0);
      CHECK(alone.us < kMaxDecisionUs);
      for (const std::size_t threads : {2U, 4U, 8U}) {
        const decision_cost shared = RouteOnThreads(cell, policy, threads);
        std::cout << "engines=" << engines << " threads=" << threads
                  << " us/decision=" << shared.us
                  << " decisions/s/core=" << 1e6 / shared.us << '\n';
        CHECK(shared.allocations == 0);
        CHECK(shared.us < kMaxDecisionUs);
      }
    }
  }
}

SCENARIO("An RCU read section is cheap", "[routing_cost]") {
  GIVEN("a cell") {
    const rcu_cell<int> cell(std::make_unique<const int>(7));

    THEN("a read takes under a tenth of a decision") {
      std::int64_t sum = 0;
      constexpr std::uint32_t kReads = 1'000'000;
      const rcu_read_guard warm_up;
      const double before = ThreadProcessorUs();
      for (std::uint32_t i = 0; i < kReads; ++i) {
        const rcu_read_guard guard;
        sum += cell.Read(guard);
      }
      const double per_read = (ThreadProcessorUs() - before) / kReads;
      std::cout << "us/rcu read=" << per_read << '\n';
      REQUIRE(sum == 7 * std::int64_t{kReads});
      REQUIRE(per_read < kMaxDecisionUs / 10);
    }
  }
}

}  // namespace anvilloom
