// Guards against calls that queue at one upstream while others are idle, and
// against computing a prompt that another upstream caches.

#include "links/placement.h"

#include <catch2/catch.hpp>
#include <map>

namespace anvilloom {

namespace {

constexpr time_point kNow{std::chrono::seconds(1000)};

std::shared_ptr<pooled_upstream> Upstream(std::string id,
                                          std::string domain = "a") {
  upstream_announcement announced;
  announced.id = std::move(id);
  announced.domain = std::move(domain);
  announced.slots = 16;
  return std::make_shared<pooled_upstream>(announced);
}

prompt_shape Prompt(std::uint64_t shared, std::uint64_t own) {
  prompt_shape prompt;
  prompt.prefixes = {{CombineHash(1, shared), 6'000},
                     {CombineHash(CombineHash(1, shared), own), 9'000}};
  prompt.prompt_tokens = 9'000;
  return prompt;
}

}  // namespace

SCENARIO("Placement weighs cached prompts against queued work", "[placement]") {
  upstream_pool pool;
  pool.service = "plans";
  pool.model = true;
  for (const char* id : {"u1", "u2", "u3", "u4"}) {
    pool.members.push_back(Upstream(id));
  }
  prefix_locations locations;
  const placement_costs costs;
  const prompt_shape prompt = Prompt(7, 1);
  placement_request request;
  request.prompt = &prompt;
  request.domain = "a";
  request.now = kNow;

  GIVEN("idle upstreams and a prompt that was never sent") {
    THEN("calls with the same shared prefix have the same home") {
      const auto first = PlaceCall(pool, locations, costs, request);
      const prompt_shape other = Prompt(7, 2);
      request.prompt = &other;
      const auto second = PlaceCall(pool, locations, costs, request);
      REQUIRE(first.target == second.target);
      REQUIRE(first.unread_tokens == 3'000);
    }

    THEN("many shared prefixes are distributed over all upstreams") {
      std::map<std::string, int> chosen;
      for (std::uint64_t shared = 0; shared < 200; ++shared) {
        const prompt_shape each = Prompt(shared, 1);
        request.prompt = &each;
        ++chosen
            [PlaceCall(pool, locations, costs, request).target->announced().id];
      }
      REQUIRE(chosen.size() == 4);
      for (const auto& [id, count] : chosen) {
        CHECK(count > 20);
      }
    }
  }

  GIVEN("an upstream that caches the whole prompt") {
    RecordPlacement(locations, *pool.members[2], prompt, kNow);

    THEN("it gets the next call of the session and computes no token") {
      const auto chosen = PlaceCall(pool, locations, costs, request);
      REQUIRE(chosen.target == pool.members[2]);
      REQUIRE(chosen.unread_tokens == 0);
    }

    WHEN("its queue takes much longer than computing the prompt") {
      pool.members[2]->Begin(60'000);

      THEN("another upstream gets the call") {
        const auto chosen = PlaceCall(pool, locations, costs, request);
        REQUIRE(chosen.target != pool.members[2]);
      }

      THEN("the other one fetches the cached part if upstreams support it") {
        request.can_fetch = true;
        const auto chosen = PlaceCall(pool, locations, costs, request);
        REQUIRE(chosen.target != pool.members[2]);
        REQUIRE(chosen.fetch_from == pool.members[2]);
        REQUIRE(chosen.unread_tokens == 0);
        REQUIRE(chosen.fetched_tokens >= 3'000);
      }
    }

    WHEN("it is leaving") {
      pool.members[2]->Leave();

      THEN("it gets no call and nothing is fetched from it") {
        request.can_fetch = true;
        const auto chosen = PlaceCall(pool, locations, costs, request);
        REQUIRE(chosen.target != pool.members[2]);
        REQUIRE(chosen.fetch_from != pool.members[2]);
      }
    }
  }

  GIVEN(
      "queues at most upstreams, and a prompt that needs most of its target") {
    request.latency_target = std::chrono::milliseconds(250);
    for (const std::size_t busy : {0, 1, 3}) {
      pool.members[busy]->Begin(20'000);
    }

    THEN("it goes to the idle upstream, whichever ones were drawn") {
      for (std::uint64_t seed = 0; seed < 50; ++seed) {
        request.random_seed = seed;
        REQUIRE(PlaceCall(pool, locations, costs, request).target ==
                pool.members[2]);
      }
    }
  }

  GIVEN("a queue at the upstream that caches the prompt") {
    RecordPlacement(locations, *pool.members[2], prompt, kNow);
    pool.members[2]->Begin(7'000);
    REQUIRE(PlaceCall(pool, locations, costs, request).target ==
            pool.members[2]);

    WHEN("it has been three times slower than the others") {
      for (int i = 0; i < 60; ++i) {
        pool.members[2]->RecordPace(3, kNow);
      }

      THEN("the call goes elsewhere") {
        REQUIRE(pool.members[2]->pace(kNow) == Approx(3).epsilon(0.05));
        REQUIRE(PlaceCall(pool, locations, costs, request).target !=
                pool.members[2]);
      }
      THEN("it gets calls again when nothing was observed for a while") {
        request.now = kNow + std::chrono::seconds(11);
        REQUIRE(PlaceCall(pool, locations, costs, request).target ==
                pool.members[2]);
      }
    }
  }

  GIVEN("a plain service with upstreams in two failure domains") {
    upstream_pool plain;
    plain.service = "desk";
    plain.members = {Upstream("p1", "a"), Upstream("p2", "b")};
    const prompt_shape none;
    request.prompt = &none;
    placement_costs fast = costs;
    fast.engine.mean_us_per_token = 1;

    THEN("the own one is left once more than five calls run there") {
      for (int i = 0; i < 5; ++i) {
        REQUIRE(PlaceCall(plain, locations, fast, request).target ==
                plain.members[0]);
        plain.members[0]->Begin(0);
      }
      plain.members[0]->Begin(0);
      REQUIRE(PlaceCall(plain, locations, fast, request).target ==
              plain.members[1]);
    }
  }

  GIVEN("token counts that no prompt has") {
    const prompt_shape huge{{}, UINT32_MAX, UINT32_MAX};
    request.prompt = &huge;
    pool.members[1]->Begin(UINT32_MAX);

    THEN("the expected time is long and does not overflow") {
      placement_costs slow = costs;
      slow.engine.prefill_us_per_pair = 1000;
      const auto chosen = PlaceCall(pool, locations, slow, request);
      REQUIRE(chosen.own_time > std::chrono::hours(24));
    }
  }

  GIVEN("load from other instances") {
    const auto home = PlaceCall(pool, locations, costs, request).target;
    home->SetPeerLoad(10, 80'000);

    THEN("it counts like the load from this instance") {
      REQUIRE(PlaceCall(pool, locations, costs, request).target != home);
    }
  }

  GIVEN("an upstream that fails calls") {
    const auto home = PlaceCall(pool, locations, costs, request).target;
    for (int i = 0; i < 4; ++i) {
      home->RecordFailure(kNow);
    }

    THEN("it is avoided while another one is available") {
      REQUIRE(PlaceCall(pool, locations, costs, request).target != home);
    }

    THEN("it is used when there is no other") {
      pool.members = {home};
      REQUIRE(PlaceCall(pool, locations, costs, request).target == home);
    }
  }

  GIVEN("a call that was sent to all upstreams") {
    std::vector<std::uint64_t> tried;
    for (const auto& each : pool.members) {
      tried.push_back(each->hash());
    }
    request.tried = tried;

    THEN("no upstream is chosen") {
      REQUIRE(PlaceCall(pool, locations, costs, request).target == nullptr);
    }
  }
}

}  // namespace anvilloom
