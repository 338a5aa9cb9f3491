// Guards the baseline policies with which least_cost is compared: an error in a
// baseline would invalidate the comparison.

#include "links/router.h"

#include <catch2/catch.hpp>
#include <set>

#include "common/random.h"
#include "test/support/test_topology_builder.h"

namespace anvilloom {

SCENARIO("The baseline policies choose among upstreams", "[router]") {
  const time_point now{std::chrono::seconds(100)};

  GIVEN("three healthy upstreams") {
    const auto snapshot = test_topology_builder()
                              .Upstream("a", 1)
                              .Upstream("b", 1)
                              .Upstream("c", 1)
                              .Build();

    WHEN("round robin chooses three times") {
      round_robin policy;
      std::set<upstream_index> chosen;
      for (int i = 0; i < 3; ++i) {
        chosen.insert(*policy.Choose(*snapshot, ChatRequest(), now));
      }

      THEN("each upstream is chosen once") {
        REQUIRE(chosen.size() == 3);
      }
    }

    WHEN("one upstream has fewer outstanding requests than the others") {
      snapshot->link_at(upstream_index{0}).Begin();
      snapshot->link_at(upstream_index{2}).Begin();

      THEN("least outstanding chooses it") {
        least_outstanding policy;
        REQUIRE(policy.Choose(*snapshot, ChatRequest(), now) ==
                upstream_index{1});
      }
    }

    WHEN("prefix hashing places a thousand prefixes") {
      prefix_hash policy;
      split_mix random(7);
      std::uint32_t counts[3] = {};
      for (int i = 0; i < 1000; ++i) {
        const auto chosen =
            policy.Choose(*snapshot, ChatRequest(random.Next()), now);
        ++counts[static_cast<std::size_t>(*chosen)];
      }

      THEN("each upstream is the home of about a third") {
        for (const std::uint32_t count : counts) {
          REQUIRE(count > 270);
          REQUIRE(count < 400);
        }
      }
    }

    WHEN("the home of a prefix leaves") {
      prefix_hash policy;
      const auto home = policy.Choose(*snapshot, ChatRequest(42), now);
      snapshot->link_at(*home).SetCondition(link_condition::kLeaving);

      THEN("the prefix has another home until the first one is healthy again") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(42), now) != home);
        snapshot->link_at(*home).SetCondition(link_condition::kHealthy);
        REQUIRE(policy.Choose(*snapshot, ChatRequest(42), now) == home);
      }
    }

    WHEN("every upstream has failed the request") {
      const upstream_index all[] = {upstream_index{0}, upstream_index{1},
                                    upstream_index{2}};
      route_request request = ChatRequest();
      request.excluded = all;

      THEN("no policy chooses one") {
        REQUIRE_FALSE(round_robin().Choose(*snapshot, request, now));
        REQUIRE_FALSE(least_outstanding().Choose(*snapshot, request, now));
        REQUIRE_FALSE(prefix_hash().Choose(*snapshot, request, now));
      }
    }
  }
}

}  // namespace anvilloom
