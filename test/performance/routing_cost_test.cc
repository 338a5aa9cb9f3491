// Guards the cost of a routing decision against regressions. Targets of
// docs/design.md: no allocation, under 2 us with 257 engines, and near-linear
// scaling from one to eight threads. CPU time is measured instead of wall time,
// because the machine may be shared.

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <new>
#include <thread>
#include <vector>

#include "common/rcu.h"
#include "links/least_cost.h"
#include "test/support/test_topology_builder.h"
#include "test/support/thread_cpu_time.h"

namespace {

thread_local std::uint64_t t_allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++t_allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace anvilloom {

namespace {

constexpr double kMaxDecisionUs = 2.0;
constexpr std::uint32_t kDecisions = 100'000;

// CPU time and allocations of a thread per decision.
struct decision_cost {
  double us = 0;
  double allocations = 0;
};

std::unique_ptr<const topology> BuildTopology(std::uint32_t engines) {
  test_topology_builder builder;
  for (std::uint32_t i = 0; i < engines; ++i) {
    builder.Upstream(i % 3 == 0 ? "a" : "b", 400'000 + 1'000 * (i % 7),
                     i % 2 == 0, 32);
  }
  return builder.Build();
}

// Routes requests like a serving thread: read section, decision, and counting
// on the link. A request ends when 64 later ones have begun.
decision_cost MeasureRouting(const rcu_cell<topology>& cell,
                             least_cost& policy,
                             std::uint64_t seed) {
  thread_random::Seed(seed);
  split_mix random(seed);
  std::array<link*, 64> running{};
  route_request request = ChatRequest();
  request.first_token_by = deadline::After(time_point{}, std::chrono::hours(1));
  const rcu_read_guard warm_up;
  const std::uint64_t allocations_before = t_allocations;
  const double before = ThreadCpuUs();
  for (std::uint32_t i = 0; i < kDecisions; ++i) {
    const rcu_read_guard guard;
    const topology& snapshot = cell.Read(guard);
    request.prefix_hash = random.Next() % 4096 * 0x9e3779b97f4a7c15U;
    const auto chosen =
        policy.Choose(snapshot, request,
                      time_point(std::chrono::microseconds(100'000'000 + i)));
    link& path = snapshot.link_at(*chosen);
    path.Begin();
    link*& slot = running[i % running.size()];
    if (slot != nullptr) {
      slot->End();
    }
    slot = &path;
  }
  const double spent = ThreadCpuUs() - before;
  const std::uint64_t allocated = t_allocations - allocations_before;
  for (link* path : running) {
    path->End();
  }
  return {spent / kDecisions, static_cast<double>(allocated) / kDecisions};
}

// Returns the mean cost over `threads` threads that route concurrently.
decision_cost RouteOnThreads(const rcu_cell<topology>& cell,
                             least_cost& policy,
                             std::size_t threads) {
  std::vector<decision_cost> costs(threads);
  std::vector<std::thread> running;
  running.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) {
    running.emplace_back(
        [&, i] { costs[i] = MeasureRouting(cell, policy, i + 1); });
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

SCENARIO("A routing decision is fast on one and on several threads",
         "[routing_cost]") {
  const std::uint32_t engines = GENERATE(12U, 257U);

  GIVEN(std::to_string(engines) + " engines") {
    const rcu_cell<topology> cell(BuildTopology(engines));
    least_cost policy;

    THEN("it allocates nothing, takes under 2 us and scales to 8 threads") {
      const decision_cost single_thread = RouteOnThreads(cell, policy, 1);
      std::cout << "engines=" << engines
                << " threads=1 us/decision=" << single_thread.us
                << " decisions/s/core=" << 1e6 / single_thread.us
                << " allocations=" << single_thread.allocations << '\n';
      CHECK(single_thread.allocations == 0);
      CHECK(single_thread.us < kMaxDecisionUs);
      for (const std::size_t threads : {2U, 4U, 8U}) {
        const decision_cost multi_thread =
            RouteOnThreads(cell, policy, threads);
        std::cout << "engines=" << engines << " threads=" << threads
                  << " us/decision=" << multi_thread.us
                  << " decisions/s/core=" << 1e6 / multi_thread.us << '\n';
        CHECK(multi_thread.allocations == 0);
        CHECK(multi_thread.us < kMaxDecisionUs);
      }
    }
  }
}

SCENARIO("An RCU read section is fast", "[routing_cost]") {
  GIVEN("a cell") {
    const rcu_cell<int> cell(std::make_unique<const int>(7));

    THEN("a read takes less than a tenth of the limit of a decision") {
      std::int64_t sum = 0;
      constexpr std::uint32_t kReads = 1'000'000;
      const rcu_read_guard warm_up;
      const double before = ThreadCpuUs();
      for (std::uint32_t i = 0; i < kReads; ++i) {
        const rcu_read_guard guard;
        sum += cell.Read(guard);
      }
      const double per_read = (ThreadCpuUs() - before) / kReads;
      std::cout << "us/rcu read=" << per_read << '\n';
      REQUIRE(sum == 7 * std::int64_t{kReads});
      REQUIRE(per_read < kMaxDecisionUs / 10);
    }
  }
}

}  // namespace anvilloom
