// Guards against new work sent to leaving upstreams, and against streams that
// break or are recomputed needlessly when their upstream is reclaimed.

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "test/support/stream_test_system.h"

namespace anvilloom {

namespace {

using std::chrono::steady_clock;

stream_test_system_options Engines(std::size_t count) {
  stream_test_system_options options;
  options.engines.resize(count);
  options.service = R"({"priority":"interactive"})";
  return options;
}

void RequireWhole(const streamed_answer& answer,
                  std::string_view prompt,
                  std::uint32_t tokens) {
  REQUIRE(answer.status == 200);
  REQUIRE(answer.text == ExpectedAnswer(prompt, tokens));
  REQUIRE(answer.consecutive);
  REQUIRE(answer.ended);
}

// Requests short streams continuously until destroyed.
class steady_load {
 public:
  explicit steady_load(const stream_test_system& world)
      : thread_([this, &world] {
          // Prompts differ, so that prefix routing uses all engines.
          for (int i = 0; !stop_; ++i) {
            world.Stream(std::to_string(i) + " load", 1);
          }
        }) {}
  ~steady_load() {
    stop_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace

SCENARIO("A leaving upstream gets no new work") {
  GIVEN("two engines under load") {
    stream_test_system world(Engines(2));
    world.WarmUpEngines();

    WHEN("one receives a reclaim notice") {
      const auto given_at = steady_clock::now();
      world.AddReclaimNotice(1, 30'000);
      REQUIRE(Eventually([&] { return world.Condition(1) == "leaving"; },
                         std::chrono::seconds(5)));
      const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
          steady_clock::now() - given_at);
      WARN("Time from notice to leaving: " << took.count() << " ms");

      THEN("within seconds it receives no more requests") {
        REQUIRE(took < std::chrono::seconds(3));
        const std::uint64_t seen = world.RequestCount(1);
        {
          const steady_load load(world);
          std::this_thread::sleep_for(std::chrono::seconds(1));
        }
        REQUIRE(world.RequestCount(1) == seen);
      }
    }

    WHEN("one refuses new work because it is leaving") {
      world.CallEngine(1, "/leave", "");
      {
        const steady_load load(world);
        REQUIRE(Eventually([&] { return world.Condition(1) == "leaving"; },
                           std::chrono::seconds(5)));
      }

      THEN("it receives no requests while callers are served") {
        const std::uint64_t seen = world.RequestCount(1);
        RequireWhole(world.Stream("a plan", 5), "a plan", 5);
        REQUIRE(world.RequestCount(1) == seen);
      }
    }

    WHEN("one is killed without notice") {
      world.engine(1).Kill();
      {
        const steady_load load(world);
        REQUIRE(Eventually([&] { return world.Condition(1) == "quarantined"; },
                           std::chrono::seconds(5)));
      }

      THEN("consecutive failures quarantine it and callers are served") {
        RequireWhole(world.Stream("a plan", 5), "a plan", 5);
      }
    }
  }

  GIVEN("an instance API whose notices fail and whose list lags") {
    stream_test_system_options options = Engines(2);
    options.list_lag_ms = "500";
    stream_test_system world(options);
    Call(world.system().port("instances"), boost::beast::http::verb::post,
         "/faults", R"({"action":"refuse","path":"/notices","count":9999})");
    // The long poll opened before the fault still returns the first notice.
    world.AddReclaimNotice(2, 30'000);
    REQUIRE(Eventually([&] { return world.Condition(2) == "leaving"; },
                       std::chrono::seconds(5)));

    WHEN("an instance leaves") {
      world.AddReclaimNotice(1, 30'000);

      THEN("it is marked as leaving through the list") {
        REQUIRE(Eventually([&] { return world.Condition(1) == "leaving"; },
                           std::chrono::seconds(5)));
      }
    }
  }
}

SCENARIO("A stream survives the announced reclaim of its engine") {
  GIVEN("a stream in the middle of its answer on one of three engines") {
    stream_test_system world(Engines(3));
    world.WarmUpEngines();
    const double before = world.Metric("recomputed_tokens_total");
    auto answer = world.StreamAsync("a long plan", 150);
    REQUIRE(world.AwaitTokens(30));
    const std::size_t holder = world.BusiestEngine();
    REQUIRE(holder != 0);

    WHEN("the engine is reclaimed a second after the notice") {
      world.AddReclaimNotice(holder, 1000);
      std::this_thread::sleep_for(std::chrono::milliseconds(1000));
      world.engine(holder).Kill();

      THEN("its cache is moved first, and almost nothing is recomputed") {
        RequireWhole(answer.get(), "a long plan", 150);
        REQUIRE(world.Metric("streams_moved_by_export_total") == 1);
        REQUIRE(world.Metric("recomputed_tokens_total") - before < 10);
      }
    }

    WHEN("the stream can complete before the reclaim") {
      world.AddReclaimNotice(holder, 60'000);

      THEN("the stream is not moved and nothing is recomputed") {
        RequireWhole(answer.get(), "a long plan", 150);
        REQUIRE(world.Metric("streams_moved_by_export_total") == 0);
        REQUIRE(world.Metric("streams_moved_by_prefill_total") == 0);
        REQUIRE(world.Metric("recomputed_tokens_total") == before);
      }
    }

    WHEN("the engine dies while its cache is being exported") {
      world.AddFault(holder, R"({"action":"delay","path":"/kv/export",)"
                             R"("delay_ms":5000})");
      world.AddReclaimNotice(holder, 1500);
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      world.engine(holder).Kill();

      THEN("the stream is recomputed elsewhere and is complete") {
        RequireWhole(answer.get(), "a long plan", 150);
        REQUIRE(world.Metric("streams_moved_by_export_total") == 0);
      }
    }

    WHEN("the other engines have changed to another version unnoticed") {
      for (std::size_t i = 1; i <= 3; ++i) {
        if (i != holder) {
          world.CallEngine(i, "/version", R"({"version":"v2"})");
        }
      }
      world.AddReclaimNotice(holder, 1000);

      THEN("the cache is refused and the stream is prefilled instead") {
        RequireWhole(answer.get(), "a long plan", 150);
        REQUIRE(world.Metric("streams_moved_by_export_total") == 0);
        REQUIRE(world.Metric("streams_moved_by_prefill_total") == 1);
      }
    }
  }
}

}  // namespace anvilloom
