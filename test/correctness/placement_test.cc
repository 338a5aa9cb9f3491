// Guards against calls that queue at one upstream while others are free, and
// against prompts that are read again though an upstream keeps them.

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

SCENARIO("Placement weighs kept prompts against waiting work", "[placement]") {
  upstream_pool pool;
  pool.service = "plans";
  pool.model = true;
  for (const char* id : {"u1", "u2", "u3", "u4"}) {
    pool.members.push_back(Upstream(id));
  }
  prefix_locations locations;
  const placement_costs costs;
  const prompt_shape prompt = Prompt(7, 1);
  placement_question question;
  question.prompt = &prompt;
  question.domain = "a";
  question.now = kNow;

  GIVEN("idle upstreams and a prompt that was never sent") {
    THEN("every instance chooses the same home for its shared part") {
      const auto first = PlaceCall(pool, locations, costs, question);
      const prompt_shape other = Prompt(7, 2);
      question.prompt = &other;
      const auto second = PlaceCall(pool, locations, costs, question);
      REQUIRE(first.target == second.target);
      REQUIRE(first.unread_tokens == 3'000);
    }

    THEN("many shared parts spread over all upstreams") {
      std::map<std::string, int> chosen;
      for (std::uint64_t shared = 0; shared < 200; ++shared) {
        const prompt_shape each = Prompt(shared, 1);
        question.prompt = &each;
        ++chosen[PlaceCall(pool, locations, costs, question)
                     .target->announced()
                     .id];
      }
      REQUIRE(chosen.size() == 4);
      for (const auto& [id, count] : chosen) {
        CHECK(count > 20);
      }
    }
  }

  GIVEN("an upstream that keeps the whole prompt") {
    RecordPlacement(locations, *pool.members[2], prompt, kNow);

    THEN("it gets the next call of the session and reads nothing") {
      const auto chosen = PlaceCall(pool, locations, costs, question);
      REQUIRE(chosen.target == pool.members[2]);
      REQUIRE(chosen.unread_tokens == 0);
    }

    WHEN("much more work waits there than reading the prompt takes") {
      pool.members[2]->Begin(60'000);

      THEN("another upstream gets the call") {
        const auto chosen = PlaceCall(pool, locations, costs, question);
        REQUIRE(chosen.target != pool.members[2]);
      }

      THEN("it fetches the kept part where upstreams can") {
        question.can_fetch = true;
        const auto chosen = PlaceCall(pool, locations, costs, question);
        REQUIRE(chosen.target != pool.members[2]);
        REQUIRE(chosen.fetch_from == pool.members[2]);
        REQUIRE(chosen.unread_tokens == 0);
        REQUIRE(chosen.fetched_tokens >= 3'000);
      }
    }

    WHEN("it leaves") {
      pool.members[2]->Leave();

      THEN("it gets nothing and nothing is fetched from it") {
        question.can_fetch = true;
        const auto chosen = PlaceCall(pool, locations, costs, question);
        REQUIRE(chosen.target != pool.members[2]);
        REQUIRE(chosen.fetch_from != pool.members[2]);
      }
    }
  }

  GIVEN("work that other instances have sent") {
    const auto home = PlaceCall(pool, locations, costs, question).target;
    home->SetElsewhere(10, 80'000);

    THEN("it counts like this instance's own") {
      REQUIRE(PlaceCall(pool, locations, costs, question).target != home);
    }
  }

  GIVEN("an upstream that fails calls") {
    const auto home = PlaceCall(pool, locations, costs, question).target;
    for (int i = 0; i < 4; ++i) {
      home->Failed(kNow);
    }

    THEN("it is avoided while another one is sound") {
      REQUIRE(PlaceCall(pool, locations, costs, question).target != home);
    }

    THEN("it is used when there is no other") {
      pool.members = {home};
      REQUIRE(PlaceCall(pool, locations, costs, question).target == home);
    }
  }

  GIVEN("a call that was sent to all upstreams") {
    std::vector<std::uint64_t> tried;
    for (const auto& each : pool.members) {
      tried.push_back(each->hash());
    }
    question.tried = tried;

    THEN("no upstream is left for it") {
      REQUIRE(PlaceCall(pool, locations, costs, question).target == nullptr);
    }
  }
}

}  // namespace anvilloom
