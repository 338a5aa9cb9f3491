// Guards against an engine that is changed without notice in the middle of
// work: callers get no wrong answer, and the engine gets no new work until it
// has shown by a few requests that it answers well.

#include <atomic>
#include <catch2/catch.hpp>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "test/support/stream_world.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

using boost::beast::http::verb;

constexpr std::uint32_t kTokens = 10;
// Routing fills batches before it uses a further engine. With a target of
// 30 ms, engines that need 20 ms alone and a sixteenth more for each further
// request are full at a batch of six, so that these callers need all three.
constexpr std::size_t kCallers = 16;
// A link takes new work on probation up to this many requests at once
// (links/link.cc).
constexpr std::uint64_t kProbationRequests = 2;
constexpr std::chrono::milliseconds kPauseOnRefusal{100};
constexpr duration kPatience = std::chrono::seconds(20);

// What one state dump says about an engine.
struct engine_view {
  std::string condition;
  std::uint64_t outstanding = 0;
  std::uint64_t remembered = 0;
};

engine_view View(stream_world& world, std::size_t number) {
  const caller_answer dump =
      Call(world.system().admin_port("entry-a"), verb::get, "/dump");
  const auto parsed = ParseJson(dump.body);
  REQUIRE(parsed.has_value());
  for (const auto& path : FindMember(*parsed, "links")->get_array()) {
    if (StringMember(path, "upstream") == stream_world::EngineName(number)) {
      return {std::string(StringMember(path, "condition").value_or("")),
              UnsignedMember(path, "outstanding_requests").value_or(0),
              UnsignedMember(path, "cached_prefixes").value_or(0)};
    }
  }
  return {};
}

// Callers that ask for short streams one after the other, with prompts of
// their own, and check every answer.
class checking_load {
 public:
  explicit checking_load(const stream_world& world) {
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, &world, i] { Run(world, i); });
    }
  }
  ~checking_load() { Stop(); }

  void Stop() {
    stop_ = true;
    for (std::thread& caller : callers_) {
      if (caller.joinable()) {
        caller.join();
      }
    }
  }

  std::uint32_t whole() const { return whole_; }
  // Answered with status 200, but not the whole answer to the request.
  std::uint32_t wrong() const { return wrong_; }
  // Refused with a status of its own.
  std::uint32_t refused() const { return refused_; }

 private:
  void Run(const stream_world& world, std::size_t caller) {
    for (std::size_t i = 0; !stop_; ++i) {
      // Different beginnings, so that routing by prefix uses all engines.
      const std::string prompt =
          std::to_string(i * kCallers + caller) + " silent change";
      const streamed_answer answer = world.Stream(prompt, kTokens);
      const bool good = answer.ended && answer.consecutive &&
                        answer.text == ExpectedAnswer(prompt, kTokens);
      if (answer.status == 429 || answer.status == 503) {
        ++refused_;
        std::this_thread::sleep_for(kPauseOnRefusal);
      } else {
        ++(good ? whole_ : wrong_);
      }
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<std::uint32_t> whole_{0};
  std::atomic<std::uint32_t> wrong_{0};
  std::atomic<std::uint32_t> refused_{0};
  std::vector<std::thread> callers_;
};

// Waits for a condition; every reading on the way goes to `observe`.
template <typename Observe>
bool AwaitCondition(stream_world& world,
                    std::size_t number,
                    std::string_view condition,
                    Observe observe) {
  return Eventually(
      [&] {
        const engine_view view = View(world, number);
        observe(view);
        return view.condition == condition;
      },
      kPatience);
}

bool AwaitCondition(stream_world& world,
                    std::size_t number,
                    std::string_view condition) {
  return AwaitCondition(world, number, condition, [](const engine_view&) {});
}

stream_world_options Engines(std::size_t count) {
  stream_world_options options;
  options.engines.assign(count, {"--batch-slowdown-permille", "62"});
  options.service = R"({"priority":"interactive","token_interval_ms":30})";
  return options;
}

// A change of an engine that nobody announces.
struct silent_change {
  std::string path;
  std::string body;
  std::string cause;
  // Undoes the change; empty if the engine may stay as it is.
  std::string undo = {};
};

const silent_change kPatch = {"/version", R"({"version":"v2"})",
                              "version_change"};
const silent_change kSlower = {"/version", R"({"token_interval_us":80000})",
                               "latency_shift",
                               R"({"token_interval_us":20000})"};
const silent_change kWrong = {
    "/faults",
    R"({"action":"wrong_id","path":"/v1/chat","count":40,"after":3})",
    "bad_answers"};

// Lets the engine recover, where the change would not let it come back.
void Undo(stream_world& world,
          std::size_t number,
          const silent_change& change) {
  if (change.path == "/faults") {
    const std::uint16_t port =
        world.system().port(stream_world::EngineName(number));
    REQUIRE(Call(port, verb::delete_, "/faults").status == 200);
  } else if (!change.undo.empty()) {
    REQUIRE(world.Ask(number, change.path, change.undo).status == 200);
  }
}

}  // namespace

SCENARIO("An engine is changed in the middle of work") {
  const silent_change change = GENERATE(kPatch, kSlower, kWrong);
  GIVEN("three engines under load, one of which shows a " << change.cause) {
    stream_world world(Engines(3));
    world.AnswerOnceEach();
    checking_load load(world);
    // Long enough for a baseline of 20 reviews at 50 ms.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    REQUIRE(world.Seen(1) > 0);
    const std::uint64_t remembered = View(world, 1).remembered;
    REQUIRE(remembered > 0);
    REQUIRE(world.Ask(1, change.path, change.body).status == 200);

    WHEN("its answers show the change") {
      const std::uint64_t before = world.Seen(1);
      const bool quarantined = AwaitCondition(world, 1, "quarantined");
      // What explains a change that was not noticed.
      CAPTURE(before, world.Seen(1), world.Seen(2), world.Seen(3));
      INFO(Call(world.system().admin_port("entry-a"), verb::get, "/dump").body);
      INFO(world.system().process("entry-a").Output());
      REQUIRE(quarantined);

      THEN("it gets no new work, then a few requests, and comes back") {
        REQUIRE(world.system().process("entry-a").Output().find(
                    "cause=" + change.cause) != std::string::npos);
        // What was assumed of its cache is dropped.
        REQUIRE(View(world, 1).remembered < remembered);
        // A request that was chosen just before may still arrive.
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        const std::uint64_t seen = world.Seen(1);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        REQUIRE(View(world, 1).condition == "quarantined");
        REQUIRE(world.Seen(1) == seen);

        Undo(world, 1, change);
        REQUIRE(AwaitCondition(world, 1, "probation"));
        std::uint64_t most = 0;
        REQUIRE(AwaitCondition(world, 1, "healthy", [&](const engine_view& at) {
          if (at.condition == "probation") {
            most = std::max(most, at.outstanding);
          }
        }));
        REQUIRE(most <= kProbationRequests);
        const std::uint64_t back = world.Seen(1);
        REQUIRE(back > seen);
        REQUIRE(Eventually([&] { return world.Seen(1) > back; }, kPatience));
        load.Stop();
        std::cout << change.cause << ": whole=" << load.whole()
                  << " refused=" << load.refused()
                  << " probation_outstanding=" << most << '\n';
        REQUIRE(load.wrong() == 0);
        REQUIRE(load.whole() > 0);
      }
    }
  }
}

SCENARIO("All engines of a service are changed at once") {
  const silent_change change = GENERATE(kPatch, kSlower, kWrong);
  GIVEN("three engines under load that all show a " << change.cause) {
    stream_world world(Engines(3));
    world.AnswerOnceEach();
    checking_load load(world);
    std::this_thread::sleep_for(std::chrono::seconds(3));

    WHEN("all are changed in the middle of work") {
      for (std::size_t i = 1; i <= world.engines(); ++i) {
        REQUIRE(world.Ask(i, change.path, change.body).status == 200);
      }
      const std::uint32_t before = load.whole();

      THEN("the service goes on answering, and no answer is wrong") {
        REQUIRE(
            Eventually([&] { return load.whole() >= before + 12; }, kPatience));
        load.Stop();
        std::cout << "all engines, " << change.cause
                  << ": whole=" << load.whole() - before
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
