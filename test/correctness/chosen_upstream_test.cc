// Guards against concurrent selections that do not take each other into
// account, which would give an upstream on probation more requests than its
// limit.

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "entry/chosen_upstream.h"
#include "test/support/test_topology_builder.h"

namespace anvilloom {

SCENARIO("An upstream on probation gets a limited number of requests",
         "[chosen_upstream]") {
  GIVEN("a service whose only upstream is on probation") {
    process_state process{entry_settings{}};
    test_topology_builder declared;
    declared.Upstream("a", 1'000'000);
    process.world.Publish(declared.Build());
    const service target = declared.declared().services[0];
    const std::shared_ptr<link> path = [&] {
      const rcu_read_guard guard;
      return process.world.Read(guard).shared_link_at(upstream_index{0});
    }();
    path->SetCondition(link_condition::kProbation);
    const auto Choose = [&] {
      return ChooseUpstream(process, target, deadline::Never(), {});
    };

    WHEN("it is selected up to its limit before any request is sent") {
      auto first = Choose();
      auto second = Choose();
      REQUIRE(first);
      REQUIRE(second);

      THEN("it is not selected again") {
        REQUIRE_FALSE(Choose());
        REQUIRE(path->outstanding_requests() == link::kProbationRequests);
      }
      AND_WHEN("one of the requests ends") {
        first.reset();

        THEN("another one can be selected") {
          REQUIRE(Choose());
        }
      }
    }

    WHEN("several threads select it concurrently") {
      constexpr int kThreads = 4;
      constexpr int kRounds = 500;
      std::atomic<std::uint32_t> max_outstanding{0};
      std::vector<std::thread> threads;
      threads.reserve(kThreads);
      for (int i = 0; i < kThreads; ++i) {
        threads.emplace_back([&] {
          for (int round = 0; round < kRounds; ++round) {
            const auto chosen = Choose();
            const std::uint32_t outstanding = path->outstanding_requests();
            if (outstanding > max_outstanding) {
              max_outstanding = outstanding;
            }
          }
        });
      }
      for (std::thread& each : threads) {
        each.join();
      }

      THEN("it never exceeds its limit, and all slots are released") {
        REQUIRE(max_outstanding <= link::kProbationRequests);
        REQUIRE(path->outstanding_requests() == 0);
      }
    }

    WHEN("it is healthy again") {
      path->SetCondition(link_condition::kHealthy);
      constexpr std::size_t kRequests =
          std::size_t{link::kProbationRequests} * 2;
      std::vector<chosen_upstream> chosen;
      chosen.reserve(kRequests);
      for (std::size_t i = 0; i < kRequests; ++i) {
        auto next = Choose();
        REQUIRE(next);
        chosen.push_back(std::move(*next));
      }

      THEN("each request counts once until it ends") {
        REQUIRE(path->outstanding_requests() == chosen.size());
        chosen.clear();
        REQUIRE(path->outstanding_requests() == 0);
      }
    }
  }
}

}  // namespace anvilloom
