// Guards against streams that lose, duplicate or mix tokens or end early when
// an upstream fails at any step of a stream.

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <tuple>

#include "test/support/stream_test_system.h"

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

stream_test_system_options EngineOptions(std::size_t count) {
  stream_test_system_options options;
  options.engines.resize(count);
  // This priority has the shortest stall limits: 2.6 s and 1 s.
  options.service = R"({"priority":"interactive"})";
  return options;
}

}  // namespace

SCENARIO("A stream survives a fault of its upstream at any step") {
  GIVEN("two engines with one fault each") {
    const auto [fault, after] = GENERATE(table<std::string, std::uint32_t>({
        {"refuse", 0},
        {"drop_before", 0},
        // Faults before the first token, in the middle and before the end
        // marker.
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
    stream_test_system system(EngineOptions(2));
    const std::string rule = R"({"action":")" + fault +
                             R"(","path":"/v1","after":)" +
                             std::to_string(after) + R"(,"delay_ms":)" +
                             (fault == "hang" ? "30000" : "300") + "}";
    system.AddFault(1, rule);
    system.AddFault(2, rule);

    WHEN("a caller asks for a stream") {
      const streamed_answer answer = system.Stream("a plan", kTokens, 20'000);

      THEN("it gets the complete answer, each token once") {
        RequireWhole(answer, "a plan", kTokens);
      }
    }
  }
}

SCENARIO("A stream survives the failure of its upstream") {
  GIVEN("a stream on one of three engines") {
    stream_test_system system(EngineOptions(3));
    auto answer = system.StreamAsync("a long plan", 100);
    REQUIRE(system.AwaitTokens(5));
    const std::size_t holder = system.BusiestEngine();
    REQUIRE(holder != 0);

    WHEN("the engine is killed") {
      system.engine(holder).Kill();

      THEN("the stream continues at another engine and is complete") {
        RequireWhole(answer.get(), "a long plan", 100);
        REQUIRE(system.Metric("recomputed_tokens_total") > 0);
      }
    }

    WHEN("the engine is paused, so that its connections stay open") {
      system.engine(holder).Pause();

      THEN("the stall is detected and the stream is complete") {
        RequireWhole(answer.get(), "a long plan", 100);
        REQUIRE(system.Metric("stalled_attempts_total") == 1);
        system.engine(holder).Continue();
      }
    }

    WHEN("its engine and the next one are killed one after the other") {
      system.engine(holder).Kill();
      std::size_t next = 0;
      REQUIRE(Eventually(
          [&] {
            next = system.BusiestEngine();
            return next != 0 && next != holder;
          },
          std::chrono::seconds(10)));
      system.engine(next).Kill();

      THEN("the stream is complete") {
        RequireWhole(answer.get(), "a long plan", 100);
      }
    }
  }
}

SCENARIO("All engines but one are lost while many streams run") {
  GIVEN("twenty streams on four engines") {
    stream_test_system system(EngineOptions(4));
    std::vector<std::future<streamed_answer>> answers;
    answers.reserve(20);
    for (int i = 0; i < 20; ++i) {
      answers.push_back(
          system.StreamAsync("plan number " + std::to_string(i), 60));
    }
    REQUIRE(system.AwaitTokens(10));

    WHEN("one is killed, one paused, and one killed after a short notice") {
      system.engine(1).Kill();
      system.engine(2).Pause();
      system.AddReclaimNotice(3, 100);
      system.engine(3).Kill();

      THEN("every caller gets its own complete answer") {
        for (int i = 0; i < 20; ++i) {
          RequireWhole(answers[i].get(), "plan number " + std::to_string(i),
                       60);
        }
      }
    }
  }
}

SCENARIO("An accepted stream waits while no upstream accepts it") {
  GIVEN("one engine that refuses the first eight requests") {
    stream_test_system system(EngineOptions(1));
    system.AddFault(1, R"({"action":"refuse","path":"/v1","count":8})");

    WHEN("a caller asks for a stream") {
      const streamed_answer answer = system.Stream("a plan", kTokens);

      THEN("it is answered once the engine accepts the request") {
        RequireWhole(answer, "a plan", kTokens);
      }
    }
  }

  GIVEN("one engine that never answers") {
    stream_test_system_options options = EngineOptions(1);
    options.service = R"({"answer_limit_ms":3000})";
    stream_test_system system(options);
    system.AddFault(1, R"({"action":"drop_before","path":"/v1","count":9999})");

    WHEN("a caller asks for a stream") {
      const auto begin = std::chrono::steady_clock::now();
      const streamed_answer answer = system.Stream("a plan", kTokens);
      const auto took = std::chrono::steady_clock::now() - begin;

      THEN("it gets an error at its deadline, and no attempt follows") {
        REQUIRE(answer.status == 504);
        REQUIRE(took > std::chrono::milliseconds(2900));
        REQUIRE(took < std::chrono::seconds(6));
        const std::uint64_t requests_before = system.RequestCount(1);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        REQUIRE(system.RequestCount(1) == requests_before);
      }
    }
  }
}

SCENARIO("A slow batch stream finishes") {
  GIVEN("an engine that takes three seconds for a token") {
    stream_test_system_options options;
    options.engines = {{"--token-interval-us", "3000000"}};
    options.service = R"({"priority":"batch","token_interval_ms":51})";
    stream_test_system system(options);

    WHEN("a caller asks for a few tokens") {
      const streamed_answer answer = system.Stream("a review", 4);

      THEN("the engine is not treated as stalled") {
        RequireWhole(answer, "a review", 4);
        REQUIRE(system.Metric("stalled_attempts_total") == 0);
      }
    }
  }
}

}  // namespace anvilloom
