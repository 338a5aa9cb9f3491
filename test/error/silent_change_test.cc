// Guards against wrong answers after an engine is changed without notice under
// load. The engine must get no new work until it has answered a few requests
// correctly on probation.

#include <atomic>
#include <catch2/catch.hpp>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "test/support/stream_test_system.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

using boost::beast::http::verb;

constexpr std::uint32_t kTokens = 10;
// Routing fills the batch of one engine before it uses another. The target
// interval is 30 ms. An engine has a token interval of 20 ms with one request
// and a sixteenth more for each further one, so its batch is full at six
// requests, and 16 callers need all three engines.
constexpr std::size_t kCallers = 16;
// Same as link::kProbationRequests.
constexpr std::uint64_t kProbationRequests = 2;
constexpr std::chrono::milliseconds kRefusalPause{100};
constexpr duration kTimeout = std::chrono::seconds(20);

// State of an engine in a state dump.
struct engine_view {
  std::string condition;
  std::uint64_t outstanding = 0;
  std::uint64_t cached_prefixes = 0;
};

engine_view GetEngineView(stream_test_system& world, std::size_t number) {
  const caller_answer dump =
      Call(world.system().admin_port("entry-a"), verb::get, "/dump");
  const auto parsed = ParseJson(dump.body);
  REQUIRE(parsed.has_value());
  for (const auto& path : FindMember(*parsed, "links")->get_array()) {
    if (StringMember(path, "upstream") ==
        stream_test_system::EngineName(number)) {
      return {std::string(StringMember(path, "condition").value_or("")),
              UnsignedMember(path, "outstanding_requests").value_or(0),
              UnsignedMember(path, "cached_prefixes").value_or(0)};
    }
  }
  return {};
}

// Callers that each request short streams with unique prompts, one at a time,
// and check every answer.
class verifying_load {
 public:
  explicit verifying_load(const stream_test_system& world) {
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, &world, i] { Run(world, i); });
    }
  }
  ~verifying_load() { Stop(); }

  void Stop() {
    stop_ = true;
    for (std::thread& caller : callers_) {
      if (caller.joinable()) {
        caller.join();
      }
    }
  }

  std::uint32_t complete() const { return complete_; }
  // Not refused, but not the complete answer to the request.
  std::uint32_t wrong() const { return wrong_; }
  // Refused with status 429 or 503.
  std::uint32_t refused() const { return refused_; }

 private:
  void Run(const stream_test_system& world, std::size_t caller) {
    for (std::size_t i = 0; !stop_; ++i) {
      // Different prefixes, so that routing by prefix uses all engines.
      const std::string prompt =
          std::to_string(i * kCallers + caller) + " silent change";
      const streamed_answer answer = world.Stream(prompt, kTokens);
      const bool good = answer.ended && answer.consecutive &&
                        answer.text == ExpectedAnswer(prompt, kTokens);
      if (answer.status == 429 || answer.status == 503) {
        ++refused_;
        std::this_thread::sleep_for(kRefusalPause);
      } else {
        ++(good ? complete_ : wrong_);
      }
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<std::uint32_t> complete_{0};
  std::atomic<std::uint32_t> wrong_{0};
  std::atomic<std::uint32_t> refused_{0};
  std::vector<std::thread> callers_;
};

// Waits for a condition and passes every state read meanwhile to `observe`.
template <typename Observe>
bool AwaitCondition(stream_test_system& world,
                    std::size_t number,
                    std::string_view condition,
                    Observe observe) {
  return Eventually(
      [&] {
        const engine_view view = GetEngineView(world, number);
        observe(view);
        return view.condition == condition;
      },
      kTimeout);
}

bool AwaitCondition(stream_test_system& world,
                    std::size_t number,
                    std::string_view condition) {
  return AwaitCondition(world, number, condition, [](const engine_view&) {});
}

stream_test_system_options EngineOptions(std::size_t count) {
  stream_test_system_options options;
  options.engines.assign(count, {"--batch-slowdown-permille", "62"});
  options.service = R"({"priority":"interactive","token_interval_ms":30})";
  return options;
}

// A change of an engine without notice.
struct silent_change {
  std::string path;
  std::string body;
  std::string cause;
  // Body of the request that reverts the change; empty if the engine can
  // recover without it.
  std::string revert = {};
};

const silent_change kVersionChange = {"/version", R"({"version":"v2"})",
                                      "version_change"};
const silent_change kLatencyShift = {
    "/version", R"({"token_interval_us":80000})", "latency_shift",
    R"({"token_interval_us":20000})"};
const silent_change kWrongAnswers = {
    "/faults",
    R"({"action":"wrong_id","path":"/v1/chat","count":40,"after":3})",
    "bad_answers"};

// Reverts a change that would prevent the engine's recovery.
void Revert(stream_test_system& world,
            std::size_t number,
            const silent_change& change) {
  if (change.path == "/faults") {
    const std::uint16_t port =
        world.system().port(stream_test_system::EngineName(number));
    REQUIRE(Call(port, verb::delete_, "/faults").status == 200);
  } else if (!change.revert.empty()) {
    REQUIRE(world.CallEngine(number, change.path, change.revert).status == 200);
  }
}

}  // namespace

SCENARIO("An engine is changed under load") {
  const silent_change change =
      GENERATE(kVersionChange, kLatencyShift, kWrongAnswers);
  GIVEN("three engines under load, one of which shows a " << change.cause) {
    stream_test_system world(EngineOptions(3));
    world.WarmUpEngines();
    verifying_load load(world);
    // Long enough for a baseline: 10 evaluations, each of at least 16 token
    // intervals.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    REQUIRE(world.RequestCount(1) > 0);
    const std::uint64_t cached_prefixes =
        GetEngineView(world, 1).cached_prefixes;
    REQUIRE(cached_prefixes > 0);
    REQUIRE(world.CallEngine(1, change.path, change.body).status == 200);

    WHEN("its answers show the change") {
      const std::uint64_t before = world.RequestCount(1);
      const bool quarantined = AwaitCondition(world, 1, "quarantined");
      // Diagnostics for a change that was not detected.
      CAPTURE(before, world.RequestCount(1), world.RequestCount(2),
              world.RequestCount(3));
      INFO(Call(world.system().admin_port("entry-a"), verb::get, "/dump").body);
      INFO(world.system().process("entry-a").Output());
      REQUIRE(quarantined);

      THEN("it gets no new work, then a few requests, and is readmitted") {
        REQUIRE(world.system().process("entry-a").Output().find(
                    "cause=" + change.cause) != std::string::npos);
        // The knowledge of its cache is discarded.
        REQUIRE(GetEngineView(world, 1).cached_prefixes < cached_prefixes);
        // A request that was routed before the quarantine may still arrive.
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        const std::uint64_t seen_in_quarantine = world.RequestCount(1);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        REQUIRE(GetEngineView(world, 1).condition == "quarantined");
        REQUIRE(world.RequestCount(1) == seen_in_quarantine);

        Revert(world, 1, change);
        REQUIRE(AwaitCondition(world, 1, "probation"));
        std::uint64_t max_outstanding = 0;
        REQUIRE(AwaitCondition(world, 1, "healthy", [&](const engine_view& at) {
          if (at.condition == "probation") {
            max_outstanding = std::max(max_outstanding, at.outstanding);
          }
        }));
        REQUIRE(max_outstanding <= kProbationRequests);
        const std::uint64_t seen_after_readmission = world.RequestCount(1);
        REQUIRE(seen_after_readmission > seen_in_quarantine);
        REQUIRE(Eventually(
            [&] { return world.RequestCount(1) > seen_after_readmission; },
            kTimeout));
        load.Stop();
        std::cout << change.cause << ": whole=" << load.complete()
                  << " refused=" << load.refused()
                  << " probation_outstanding=" << max_outstanding << '\n';
        REQUIRE(load.wrong() == 0);
        REQUIRE(load.complete() > 0);
      }
    }
  }
}

SCENARIO("All engines of a service are changed at once") {
  const silent_change change =
      GENERATE(kVersionChange, kLatencyShift, kWrongAnswers);
  GIVEN("three engines under load and a change that causes " << change.cause) {
    stream_test_system world(EngineOptions(3));
    world.WarmUpEngines();
    verifying_load load(world);
    std::this_thread::sleep_for(std::chrono::seconds(3));

    WHEN("all are changed under load") {
      for (std::size_t i = 1; i <= world.engines(); ++i) {
        REQUIRE(world.CallEngine(i, change.path, change.body).status == 200);
      }
      const std::uint32_t before = load.complete();

      THEN("the service keeps answering, and no answer is wrong") {
        REQUIRE(Eventually([&] { return load.complete() >= before + 12; },
                           kTimeout));
        load.Stop();
        std::cout << "all engines, " << change.cause
                  << ": whole=" << load.complete() - before
                  << " refused=" << load.refused() << '\n';
        REQUIRE(load.wrong() == 0);
        const streamed_answer later = world.Stream("later", kTokens);
        REQUIRE(later.ended);
        REQUIRE(later.text == ExpectedAnswer("later", kTokens));
      }
    }
  }
}

}  // namespace anvilloom
