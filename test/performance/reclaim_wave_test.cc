// Measures the tokens that a wave of reclaims makes engines compute again, with
// the reclaim plan and without it. Guards against a plan that saves nothing.

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "test/support/stream_world.h"

namespace anvilloom {

namespace {

constexpr int kStreams = 24;
constexpr std::uint32_t kTokens = 200;
constexpr std::uint32_t kNoticeMs = 2000;
constexpr std::size_t kPromptBytes = 4000;

// What one wave cost.
struct wave_cost {
  double recomputed = 0;
  double exported = 0;
  double prefilled = 0;
  int whole = 0;
};

std::string Prompt(int number) {
  // The number comes first, so that the prompts share no cached prefix.
  return std::to_string(number) + std::string(kPromptBytes, 'p');
}

wave_cost RunWave(std::string_view plan) {
  stream_world_options options;
  // An import takes as long as 128 KB for each token take at 10 Gbit/s.
  options.engines.assign(4, {"--token-interval-us", "25000", "--import-us",
                             "105", "--prefill-us", "100"});
  options.settings = R"(,"reclaim_plan":)" + std::string(plan);
  options.service = R"({"first_token_ms":250,"token_interval_ms":25})";
  stream_world world(options);
  world.AnswerOnceEach();
  std::vector<std::future<streamed_answer>> answers;
  answers.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    answers.push_back(world.StreamAside(Prompt(i), kTokens));
  }
  world.AwaitTokens(50);
  const double before = world.Metric("recomputed_tokens_total");
  for (const std::size_t leaving : {1, 2}) {
    world.GiveNotice(leaving, kNoticeMs);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kNoticeMs));
  for (const std::size_t leaving : {1, 2}) {
    world.engine(leaving).Kill();
  }
  wave_cost cost;
  for (int i = 0; i < kStreams; ++i) {
    const streamed_answer answer = answers[i].get();
    const bool whole = answer.ended && answer.consecutive &&
                       answer.text == ExpectedAnswer(Prompt(i), kTokens);
    cost.whole += whole ? 1 : 0;
  }
  cost.recomputed = world.Metric("recomputed_tokens_total") - before;
  cost.exported = world.Metric("streams_moved_by_export_total");
  cost.prefilled = world.Metric("streams_moved_by_prefill_total");
  return cost;
}

}  // namespace

SCENARIO("The reclaim plan saves recomputed tokens in a wave") {
  GIVEN("two of four engines that are reclaimed after 2 s, 24 streams") {
    const wave_cost with = RunWave("true");
    const wave_cost without = RunWave("false");
    WARN("Recomputed tokens: " << with.recomputed << " with the plan ("
                               << with.exported << " exported, "
                               << with.prefilled << " prefilled), "
                               << without.recomputed << " without");

    THEN("every stream is whole either way") {
      REQUIRE(with.whole == kStreams);
      REQUIRE(without.whole == kStreams);
      AND_THEN("the plan saves at least nine tokens in ten") {
        REQUIRE(without.recomputed > 0);
        REQUIRE(with.recomputed * 10 < without.recomputed);
      }
    }
  }
}

}  // namespace anvilloom
