// Guards against two simultaneous faults that are each tolerated alone:
// recovery from one must not depend on a component that the other has made
// unavailable.

#include <signal.h>

#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "test/support/stream_test_system.h"
#include "test/support/three_entry_system.h"

namespace anvilloom {

namespace {

constexpr std::uint32_t kTokens = 300;

std::string Prompt(std::size_t number) {
  return "caller " + std::to_string(number);
}

}  // namespace

SCENARIO("An engine is reclaimed while the object API is down",
         "[fault_pairs]") {
  GIVEN("streams on three engines, and an unavailable object API") {
    stream_test_system_options options;
    options.engines.resize(3);
    stream_test_system world(options);
    world.WarmUpEngines();
    std::vector<std::future<streamed_answer>> answers;
    for (std::size_t i = 0; i < 8; ++i) {
      answers.push_back(world.StreamAsync(Prompt(i), kTokens));
    }
    REQUIRE(world.AwaitTokens(10));
    const bool killed = GENERATE(true, false);
    if (killed) {
      world.system().process("objects").Kill();
    } else {
      world.system().process("objects").Pause();
    }

    WHEN(
        "the busiest engine gets a reclaim notice and is killed at its "
        "deadline") {
      const std::size_t reclaimed_engine = world.BusiestEngine();
      REQUIRE(reclaimed_engine != 0);
      world.AddReclaimNotice(reclaimed_engine, 2000);
      REQUIRE(Eventually(
          [&] { return world.Condition(reclaimed_engine) == "leaving"; },
          std::chrono::seconds(2)));
      std::this_thread::sleep_for(std::chrono::seconds(2));
      world.engine(reclaimed_engine).Kill();

      THEN("its streams are moved, all complete, and new ones are served") {
        for (std::size_t i = 0; i < answers.size(); ++i) {
          const streamed_answer answer = answers[i].get();
          CAPTURE(i, answer.status);
          REQUIRE(answer.ended);
          REQUIRE(answer.consecutive);
          REQUIRE(answer.text == ExpectedAnswer(Prompt(i), kTokens));
        }
        const double moved = world.Metric("streams_moved_by_export_total") +
                             world.Metric("streams_moved_by_prefill_total");
        REQUIRE(moved > 0);
        std::cout << "killed=" << killed << " moved=" << moved
                  << " recomputed=" << world.Metric("recomputed_tokens_total")
                  << '\n';
        const streamed_answer new_stream = world.Stream("later", 10);
        REQUIRE(new_stream.ended);
        REQUIRE(new_stream.text == ExpectedAnswer("later", 10));
      }
    }
  }
}

SCENARIO("An engine is killed during a handover", "[fault_pairs]") {
  GIVEN("streams at an instance that shuts down") {
    three_entry_system entries("5000");
    std::vector<std::future<stream_result>> followed;
    for (std::size_t i = 0; i < 8; ++i) {
      followed.push_back(
          entries.Follow({entries.a(), entries.c()}, Prompt(i), kTokens));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    const std::string killed_engine = GENERATE("e1", "e2");

    WHEN("it is told to stop and an engine is killed while it hands over") {
      // 0: before any handover is offered; 150 ms: just after the grace period
      // of 100 ms, while handovers are offered; 400 ms: after the streams were
      // taken over.
      const int delay_ms = GENERATE(0, 150, 400);
      entries.system().process("entry-a").Signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
      entries.system().process(killed_engine).Kill();
      const int exit_code = entries.system().process("entry-a").Wait();

      THEN("every caller gets each token once") {
        for (std::size_t i = 0; i < followed.size(); ++i) {
          const stream_result stream = followed[i].get();
          CAPTURE(killed_engine, delay_ms, i, stream.status, stream.reconnects);
          REQUIRE(stream.ended);
          REQUIRE(stream.text == ExpectedAnswer(Prompt(i), kTokens));
          REQUIRE(stream.out_of_sequence == 0);
        }
        REQUIRE(exit_code == 0);
      }
    }
  }
}

}  // namespace anvilloom
