// Guards against streams that lose, double or mix tokens, or end early, when
// an upstream fails at any step of a stream.

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <tuple>

#include "test/support/stream_world.h"

namespace anvilloom {

namespace {

constexpr std::uint32_t kTokens = 12;

void RequireWhole(const streamed_answer& answer,
                  std::string_view prompt,
                  std::uint32_t tokens) {
  REQUIRE(answer.status == 200);
  REQUIRE(answer.text == ExpectedAnswer(prompt, tokens));
  REQUIRE(answer.consecutive);
  REQUIRE(answer.ended);
}

stream_world_options Engines(std::size_t count) {
  stream_world_options options;
  options.engines.resize(count);
  // Short targets, so that a hung engine is found after 2 s at most.
  options.service = R"({"first_token_ms":250,"token_interval_ms":25})";
  return options;
}

}  // namespace

SCENARIO("A stream survives a fault of its upstream at any step") {
  GIVEN("two engines that both misbehave once") {
    const auto [fault, after] = GENERATE(table<std::string, std::uint32_t>({
        {"refuse", 0},
        {"drop_before", 0},
        // Before the first token, in the middle, before the end marker.
        {"truncate", 0},
        {"truncate", 6},
        {"truncate", kTokens},
        {"wrong_id", 0},
        {"wrong_id", 6},
        {"duplicate", 0},
        {"duplicate", 6},
        {"duplicate", kTokens - 1},
        {"gap", 0},
        {"gap", 6},
        {"gap", kTokens - 1},
        {"malformed", 0},
        {"malformed", 6},
        {"malformed", kTokens},
        {"hang", 0},
        {"hang", 6},
        {"hang", kTokens},
        {"delay", 0},
        {"delay", 6},
    }));
    CAPTURE(fault, after);
    stream_world world(Engines(2));
    const std::string rule = R"({"action":")" + fault +
                             R"(","path":"/v1","after":)" +
                             std::to_string(after) + R"(,"delay_ms":)" +
                             (fault == "hang" ? "30000" : "300") + "}";
    world.AddFault(1, rule);
    world.AddFault(2, rule);

    WHEN("a caller asks for a stream") {
      const streamed_answer answer = world.Stream("a plan", kTokens, 20'000);

      THEN("it gets the answer of an undisturbed run, each token once") {
        RequireWhole(answer, "a plan", kTokens);
      }
    }
  }
}

SCENARIO("A stream survives the death of its upstream") {
  GIVEN("a stream on one of three engines") {
    stream_world world(Engines(3));
    auto answer = world.StreamAside("a long plan", 100);
    REQUIRE(world.AwaitTokens(5));
    const std::size_t holder = world.BusiestEngine();
    REQUIRE(holder != 0);

    WHEN("the engine is killed") {
      world.engine(holder).Kill();

      THEN("the stream goes on elsewhere and is whole") {
        RequireWhole(answer.get(), "a long plan", 100);
        REQUIRE(world.Metric("recomputed_tokens_total") > 0);
      }
    }

    WHEN("the engine is stopped without closing its connections") {
      world.engine(holder).Pause();

      THEN("the silence is noticed and the stream is whole") {
        RequireWhole(answer.get(), "a long plan", 100);
        REQUIRE(world.Metric("stalled_attempts_total") == 1);
        world.engine(holder).Continue();
      }
    }

    WHEN("its engine and the next one die one after the other") {
      world.engine(holder).Kill();
      std::size_t next = 0;
      REQUIRE(Eventually(
          [&] {
            next = world.BusiestEngine();
            return next != 0 && next != holder;
          },
          std::chrono::seconds(10)));
      world.engine(next).Kill();

      THEN("the stream is whole") {
        RequireWhole(answer.get(), "a long plan", 100);
      }
    }
  }
}

SCENARIO("A wave takes all engines but one while many streams run") {
  GIVEN("twenty streams on four engines") {
    stream_world world(Engines(4));
    std::vector<std::future<streamed_answer>> answers;
    answers.reserve(20);
    for (int i = 0; i < 20; ++i) {
      answers.push_back(
          world.StreamAside("plan number " + std::to_string(i), 60));
    }
    REQUIRE(world.AwaitTokens(10));

    WHEN("one is killed, one stopped, and one told to leave at once") {
      world.engine(1).Kill();
      world.engine(2).Pause();
      world.GiveNotice(3, 100);
      world.engine(3).Kill();

      THEN("every caller gets its own whole answer") {
        for (int i = 0; i < 20; ++i) {
          RequireWhole(answers[i].get(), "plan number " + std::to_string(i),
                       60);
        }
      }
    }
  }
}

SCENARIO("An accepted stream waits while no upstream takes it") {
  GIVEN("one engine that refuses the first eight requests") {
    stream_world world(Engines(1));
    world.AddFault(1, R"({"action":"refuse","path":"/v1","count":8})");

    WHEN("a caller asks for a stream") {
      const streamed_answer answer = world.Stream("a plan", kTokens);

      THEN("it is answered once the engine takes it") {
        RequireWhole(answer, "a plan", kTokens);
      }
    }
  }

  GIVEN("one engine that never answers") {
    stream_world_options options = Engines(1);
    options.service = R"({"first_token_ms":250,"answer_limit_ms":3000})";
    stream_world world(options);
    world.AddFault(1, R"({"action":"drop_before","path":"/v1","count":9999})");

    WHEN("a caller asks for a stream") {
      const auto begin = std::chrono::steady_clock::now();
      const streamed_answer answer = world.Stream("a plan", kTokens);
      const auto took = std::chrono::steady_clock::now() - begin;

      THEN("it gets an answer at its deadline, and no try comes after it") {
        REQUIRE(answer.status == 504);
        REQUIRE(took > std::chrono::milliseconds(2900));
        REQUIRE(took < std::chrono::seconds(6));
        const std::uint64_t seen = world.Seen(1);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        REQUIRE(world.Seen(1) == seen);
      }
    }
  }
}

SCENARIO("A slow batch stream finishes") {
  GIVEN("an engine that takes three seconds for a token") {
    stream_world_options options;
    options.engines = {{"--token-interval-us", "3000000"}};
    options.service = R"({"priority":"batch","token_interval_ms":51})";
    stream_world world(options);

    WHEN("a caller asks for a few tokens") {
      const streamed_answer answer = world.Stream("a review", 4);

      THEN("the engine does not count as hung") {
        RequireWhole(answer, "a review", 4);
        REQUIRE(world.Metric("stalled_attempts_total") == 0);
      }
    }
  }
}

}  // namespace anvilloom
