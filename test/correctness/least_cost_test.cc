// Guards against routing decisions that cost more than necessary, miss the
// contract, or choose an upstream that must not take new work.

#include "links/least_cost.h"

#include <catch2/catch.hpp>

#include "test/support/test_topology_builder.h"

namespace anvilloom {

namespace {

constexpr upstream_index kFirst{0};
constexpr upstream_index kSecond{1};
constexpr time_point kNow{std::chrono::seconds(100)};

void BeginRequests(const topology& snapshot,
                   upstream_index index,
                   std::uint32_t requests) {
  for (std::uint32_t i = 0; i < requests; ++i) {
    snapshot.link_at(index).Begin();
  }
}

}  // namespace

SCENARIO("The cheapest upstream that meets the contract is chosen",
         "[least_cost]") {
  least_cost policy;

  GIVEN("a cheap and an expensive upstream, both idle") {
    const auto snapshot = test_topology_builder()
                              .Upstream("a", 1'000'000)
                              .Upstream("b", 400'000)
                              .Build();

    THEN("the cheap one is chosen") {
      REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kSecond);
    }

    WHEN("the cheap one's batch is as large as the token interval allows") {
      BeginRequests(*snapshot, kSecond, 16);

      THEN("the expensive one is chosen") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kFirst);
      }
    }

    WHEN("the cheap one's token interval exceeds the target") {
      snapshot->link_at(kSecond).ObserveTokenInterval(
          std::chrono::milliseconds(70));

      THEN("the expensive one is chosen") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kFirst);
      }
    }

    WHEN("the cheap one computes the prompt too slowly for the first token") {
      snapshot->link_at(kSecond).ObservePrefill(100, std::chrono::seconds(1));
      route_request request = ChatRequest();
      request.first_token_by =
          deadline::After(kNow, std::chrono::milliseconds(650));

      THEN("the expensive one is chosen") {
        REQUIRE(policy.Choose(*snapshot, request, kNow) == kFirst);
      }
    }

    WHEN("all tokens of the cheap one were late because of prefills") {
      const service_index chat = ChatRequest().wanted;
      const duration target = snapshot->at(chat).terms.token_interval_target;
      for (int i = 0; i < 600; ++i) {
        snapshot->link_at(kSecond).ObserveTokenInterval(target / 2, target / 4);
      }

      THEN("it is still tried with one request") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kSecond);
      }
      AND_WHEN("it has a few requests") {
        BeginRequests(*snapshot, kSecond, 4);

        THEN("a larger batch is avoided") {
          REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kFirst);
        }
      }
    }

    WHEN("the cheap one has already failed the request") {
      const upstream_index failed[] = {kSecond};
      route_request request = ChatRequest();
      request.excluded = failed;

      THEN("the expensive one is chosen") {
        REQUIRE(policy.Choose(*snapshot, request, kNow) == kFirst);
      }
    }

    WHEN("the cheap one must not take new work") {
      const auto condition =
          GENERATE(link_condition::kQuarantined, link_condition::kLeaving);
      snapshot->link_at(kSecond).SetCondition(condition);

      THEN("the expensive one is chosen") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kFirst);
      }
      AND_WHEN("the expensive one must not either") {
        snapshot->link_at(kFirst).SetCondition(condition);

        THEN("none is chosen") {
          REQUIRE_FALSE(policy.Choose(*snapshot, ChatRequest(), kNow));
        }
      }
    }

    WHEN("the cheap one is on probation with a few requests in flight") {
      snapshot->link_at(kSecond).SetCondition(link_condition::kProbation);
      REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kSecond);
      BeginRequests(*snapshot, kSecond, 2);

      THEN("it gets no more") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kFirst);
      }
    }
  }

  GIVEN("two upstreams at the same price, one of them with a batch running") {
    const auto snapshot = test_topology_builder()
                              .Upstream("a", 1'000'000)
                              .Upstream("b", 1'000'000)
                              .Build();
    BeginRequests(*snapshot, kSecond, 3);

    THEN("the request joins the batch, which costs less engine time") {
      REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kSecond);
    }
  }

  GIVEN("every upstream over its limit") {
    const auto snapshot = test_topology_builder()
                              .Upstream("a", 1'000'000)
                              .Upstream("b", 400'000)
                              .Build();
    BeginRequests(*snapshot, kFirst, 20);
    BeginRequests(*snapshot, kSecond, 60);

    THEN("the one with the least delay is chosen, and the miss is reported") {
      const auto estimate = policy.Estimate(*snapshot, ChatRequest(), kNow);
      REQUIRE(estimate);
      REQUIRE(estimate->chosen == kFirst);
      REQUIRE_FALSE(estimate->meets_target);
      REQUIRE(estimate->load_permille > 1000);
    }
  }
}

SCENARIO("An engine that can't meet the target interval still takes work",
         "[least_cost]") {
  least_cost policy;

  GIVEN("one engine of 4,096 slots") {
    const auto snapshot =
        test_topology_builder().Upstream("a", 1'000'000, false, 4096).Build();
    route_request request = ChatRequest();
    const duration target =
        snapshot->at(request.wanted).terms.token_interval_target;

    WHEN("140 streams start at once, before any token was observed") {
      BeginRequests(*snapshot, kFirst, 140);

      THEN("the load is relative to the slots") {
        REQUIRE(policy.Estimate(*snapshot, request, kNow)->load_permille < 50);
      }
    }

    WHEN("its tokens took the whole target with one stream, and 140 follow") {
      BeginRequests(*snapshot, kFirst, 1);
      for (int i = 0; i < 20; ++i) {
        snapshot->link_at(kFirst).ObserveTokenInterval(target, target);
      }
      BeginRequests(*snapshot, kFirst, 139);
      for (int i = 0; i < 20; ++i) {
        snapshot->link_at(kFirst).ObserveTokenInterval(target, target);
      }

      THEN("it is chosen, and the load is relative to the slots") {
        const auto estimate = policy.Estimate(*snapshot, request, kNow);
        REQUIRE(estimate->chosen == kFirst);
        REQUIRE_FALSE(estimate->meets_target);
        REQUIRE(estimate->load_permille < 50);
      }
      AND_WHEN("its slots are taken") {
        BeginRequests(*snapshot, kFirst, 4096);

        THEN("the load is above 1000 permille") {
          REQUIRE(policy.Estimate(*snapshot, request, kNow)->load_permille >
                  1000);
        }
      }
    }
  }
}

SCENARIO("A prefix is routed to the upstream that caches it", "[least_cost]") {
  least_cost policy;

  GIVEN("two upstreams at the same price") {
    const auto snapshot = test_topology_builder()
                              .Upstream("a", 1'000'000)
                              .Upstream("b", 1'000'000)
                              .Build();
    const upstream_index home =
        *policy.Choose(*snapshot, ChatRequest(42), kNow);
    const upstream_index other = home == kFirst ? kSecond : kFirst;

    THEN("a second request with the prefix goes to the same one") {
      for (int i = 0; i < 20; ++i) {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(42), kNow) == home);
      }
    }

    THEN(
        "another entry instance computes the same home without communication") {
      least_cost other_instance;
      REQUIRE(other_instance.Choose(*snapshot, ChatRequest(42), kNow) == home);
    }

    WHEN("events report that the other one stored it and this one evicted it") {
      policy.CacheEvicted(42, snapshot->at(home).name);
      policy.CacheStored(42, snapshot->at(other).name, kNow);

      THEN("the request goes to the other one") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(42), kNow) == other);
      }
      AND_WHEN("the other one's events have a gap") {
        snapshot->link_at(other).DistrustCache(kNow + std::chrono::seconds(2));

        THEN("the computed home is preferred again") {
          REQUIRE(policy.Choose(*snapshot, ChatRequest(42),
                                kNow + std::chrono::seconds(3)) == home);
        }
      }
    }

    WHEN("the home's batch is full") {
      BeginRequests(*snapshot, home, 16);

      THEN("the request goes to the other one despite the cache") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(42), kNow) == other);
      }
    }
  }
}

SCENARIO("Load reports are corrected for requests begun or ended since",
         "[least_cost]") {
  GIVEN(
      "an upstream whose report counts ten requests, four of them from this "
      "instance") {
    link path("engine");
    for (int i = 0; i < 4; ++i) {
      path.Begin();
    }
    path.Report({.running = 8, .waiting = 2}, kNow);
    REQUIRE(path.expected_requests(1) == 10);

    WHEN("this entry instance sends three more") {
      for (int i = 0; i < 3; ++i) {
        path.Begin();
      }

      THEN("they are added") {
        REQUIRE(path.expected_requests(1) == 13);
      }
      THEN("two further members are assumed to have sent as many each") {
        REQUIRE(path.expected_requests(3) == 19);
      }
    }

    WHEN("all four requests of this instance end") {
      for (int i = 0; i < 4; ++i) {
        path.End();
      }

      THEN("the six requests of the other instances remain") {
        REQUIRE(path.expected_requests(1) == 6);
      }
      THEN("the expected number is never below that of this instance") {
        REQUIRE(path.expected_requests(50) == 0);
      }
    }
  }
}

SCENARIO("Upstreams that may be reclaimed soon are avoided", "[least_cost]") {
  least_cost policy;

  GIVEN(
      "a reclaimable upstream that is a little cheaper than an on-demand one") {
    const auto snapshot = test_topology_builder()
                              .Upstream("a", 1'000'000)
                              .Upstream("b", 900'000, true)
                              .Build();
    REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kSecond);

    WHEN("its failure domain has just had a reclaim notice") {
      policy.ObserveReclaim("b", kNow);
      route_request request = ChatRequest();
      request.prompt_tokens = 4000;
      request.answer_tokens = 1000;

      THEN("a long answer goes to the on-demand one") {
        REQUIRE(policy.Choose(*snapshot, request, kNow) == kFirst);
      }
      THEN("the effect of the notice expires") {
        REQUIRE(policy.Choose(*snapshot, request,
                              kNow + std::chrono::minutes(20)) == kSecond);
      }
    }

    WHEN("its notice period ends before the answer would") {
      snapshot->link_at(kSecond).SetReclaim(
          deadline::After(kNow, std::chrono::seconds(2)));

      THEN("the on-demand one is chosen") {
        REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) == kFirst);
      }
    }
  }
}

SCENARIO("Interactive requests overtake batch requests", "[least_cost]") {
  least_cost policy;

  GIVEN("an upstream with more batch requests than slots") {
    const auto snapshot =
        test_topology_builder().Upstream("a", 1'000'000).Build();
    for (int i = 0; i < 20; ++i) {
      snapshot->link_at(kFirst).Begin(priority::kBatch);
    }

    THEN("an interactive request expects no queue, a batch request does") {
      route_request request = ChatRequest();
      request.priority_class = priority::kInteractive;
      const auto interactive = policy.Estimate(*snapshot, request, kNow);
      request.priority_class = priority::kBatch;
      const auto batch = policy.Estimate(*snapshot, request, kNow);
      REQUIRE(interactive->first_token + std::chrono::milliseconds(100) <
              batch->first_token);
    }
  }
}

SCENARIO("All upstreams are evaluated if no sampled one may take work",
         "[least_cost]") {
  GIVEN("257 upstreams of which only one may take work") {
    test_topology_builder many;
    for (int i = 0; i < 257; ++i) {
      many.Upstream("a", 1'000'000);
    }
    const auto snapshot = many.Build();
    for (std::uint32_t i = 0; i < 257; ++i) {
      if (i != 200) {
        snapshot->link_at(upstream_index{i})
            .SetCondition(link_condition::kLeaving);
      }
    }

    THEN("it is found") {
      least_cost policy;
      REQUIRE(policy.Choose(*snapshot, ChatRequest(), kNow) ==
              upstream_index{200});
    }
  }

  GIVEN("no upstream") {
    const auto snapshot = test_topology_builder().Build();

    THEN("none is chosen") {
      least_cost policy;
      REQUIRE_FALSE(policy.Choose(*snapshot, ChatRequest(), kNow));
    }
  }
}

SCENARIO("Requests without tokens go to the idle upstream", "[least_cost]") {
  GIVEN("two upstreams, one of them busy") {
    const auto snapshot = test_topology_builder()
                              .Upstream("a", 1'000'000)
                              .Upstream("b", 1'000'000)
                              .Build();
    BeginRequests(*snapshot, kFirst, 3);

    THEN("a request without tokens goes to the idle one") {
      least_cost policy;
      route_request request;
      request.wanted = service_index{0};
      REQUIRE(policy.Choose(*snapshot, request, kNow) == kSecond);
    }
  }
}

}  // namespace anvilloom
