// Guards against judging a deployment's engines by the speed of another
// deployment's: prompts that an idle engine serves in time are then refused, or
// too few engines are ordered.

#include "links/profile_estimator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <string>
#include <vector>

#include "common/random.h"

namespace anvilloom {

namespace {

// An engine that computes prompts in chunks, one chunk in each step.
struct engine_speed {
  double tokens_per_ms = 0;
  double step_ms = 0;
  double us_per_pair = 0;
  int slots = 0;

  duration FirstToken(const prompt_work& work) const {
    constexpr double kChunkTokens = 1024;
    const double steps = std::ceil(work.tokens / kChunkTokens) + 0.5;
    const double slower = 1 + 0.5 * work.running / slots;
    const double before = work.prompt_tokens - work.tokens / 2.0;
    const double us = work.tokens / tokens_per_ms * 1000 +
                      work.tokens * before * us_per_pair +
                      steps * step_ms * slower * 1000;
    return duration(static_cast<std::int64_t>(us));
  }
};

// Prompts whose lengths vary by a factor of 60, partly cached.
prompt_work RandomWork(split_mix& random) {
  const double length = 300 * std::exp(random.NextUnit() * std::log(60));
  prompt_work work;
  work.prompt_tokens = static_cast<std::uint32_t>(length);
  const bool cached = random.NextUnit() < 0.5;
  work.tokens = cached ? work.prompt_tokens / 3 : work.prompt_tokens;
  return work;
}

// Observes one call in `count`. A tenth of the calls come from slow engines,
// one in twenty has a prompt that was cached after all, one in twenty waited
// for work that was not known.
void Observe(profile_estimator& estimator,
             const engine_speed& speed,
             int count,
             split_mix& random) {
  constexpr double kMaxNoise = 0.1;
  for (int i = 0; i < count; ++i) {
    prompt_work work = RandomWork(random);
    work.running = random.NextBelow(
        static_cast<std::uint32_t>(std::max(speed.slots / 2, 1)));
    auto delay = static_cast<double>(speed.FirstToken(work).count());
    delay *= 1 + (random.NextUnit() * 2 - 1) * kMaxNoise;
    const double kind = random.NextUnit();
    if (kind < 0.10) {
      delay *= 4;
    } else if (kind < 0.15) {
      delay *= 0.2;
    } else if (kind < 0.20) {
      delay += 300'000;
    }
    estimator.Observe({work, 0, duration(static_cast<std::int64_t>(delay))});
  }
  estimator.Update({});
}

// Median relative error of the expected time to the first token.
double MedianError(const engine_profile& profile,
                   const engine_speed& speed,
                   split_mix random) {
  std::vector<double> errors;
  for (int i = 0; i < 400; ++i) {
    prompt_work work = RandomWork(random);
    work.running = static_cast<std::uint32_t>(speed.slots / 4);
    const auto actual = static_cast<double>(speed.FirstToken(work).count());
    const double expected =
        static_cast<double>(profile.PrefillTime(work).count()) +
        profile.fixed_us;
    errors.push_back(std::abs(expected - actual) / actual);
  }
  std::ranges::nth_element(errors, errors.begin() + 200);
  return errors[200];
}

}  // namespace

SCENARIO("The speed of any kind of engine is learned from first tokens",
         "[profile_estimator]") {
  for (const double tokens_per_ms : {5.0, 20.0, 38.0, 66.0, 200.0}) {
    for (const double step_ms : {2.0, 10.0, 40.0}) {
      for (const double us_per_pair : {0.0, 0.0007, 0.004}) {
        for (const int slots : {8, 64, 256}) {
          const engine_speed speed{tokens_per_ms, step_ms, us_per_pair, slots};
          for (const std::uint64_t seed : {1U, 2U, 3U}) {
            split_mix random(seed);
            profile_estimator estimator;
            Observe(estimator, speed, profile_estimator::kObservations, random);
            CAPTURE(tokens_per_ms, step_ms, us_per_pair, slots, seed);
            CHECK(MedianError(estimator.profile(), speed, random) < 0.15);
          }
        }
      }
    }
  }
}

SCENARIO("The profile follows engines that change", "[profile_estimator]") {
  split_mix random(11);
  profile_estimator estimator;
  const engine_speed before{60, 4, 0, 64};
  Observe(estimator, before, 300, random);
  REQUIRE(MedianError(estimator.profile(), before, random) < 0.15);

  WHEN("the vendor replaces them by slower ones") {
    const engine_speed after{20, 8, 0.001, 64};
    Observe(estimator, after, profile_estimator::kObservations, random);

    THEN("the profile is theirs after as many first tokens as it keeps") {
      REQUIRE(MedianError(estimator.profile(), after, random) < 0.15);
    }
  }
}

SCENARIO("An instance that has just started uses what the others know",
         "[profile_estimator]") {
  const engine_speed speed{15, 10, 0.001, 32};
  split_mix random(5);
  profile_estimator other;
  Observe(other, speed, 200, random);
  profile_estimator started;

  GIVEN("no report yet") {
    THEN("the initial profile admits rather than refuses") {
      REQUIRE(started.profile().prefill_us_per_token ==
              engine_profile{}.prefill_us_per_token);
      REQUIRE(started.own().observations == 0);
    }
  }

  GIVEN("a report of another instance") {
    const std::vector<engine_profile> peers = {other.own()};
    started.Update(peers);

    THEN("its profile is used, and not reported as an own one") {
      REQUIRE(MedianError(started.profile(), speed, random) < 0.15);
      REQUIRE(started.own().observations == 0);
    }
  }

  GIVEN("reports with values that no engine can have") {
    for (const double odd : {0.0, -5.0, 1e300, std::nan(""),
                             std::numeric_limits<double>::infinity()}) {
      engine_profile wrong = other.own();
      wrong.prefill_us_per_token = odd;
      started.Update(std::vector<engine_profile>{wrong});

      THEN("they are ignored: " + std::to_string(odd)) {
        REQUIRE(started.profile().prefill_us_per_token ==
                engine_profile{}.prefill_us_per_token);
      }
    }
  }
}

SCENARIO("First tokens that say little about an engine change nothing",
         "[profile_estimator]") {
  profile_estimator estimator;
  constexpr duration kDelay = std::chrono::milliseconds(500);

  WHEN("prompts are short, or counts and delays are impossible") {
    for (int i = 0; i < 64; ++i) {
      estimator.Observe({{20, 4000}, 0, kDelay});
      estimator.Observe({{5000, 4000}, 0, kDelay});
      estimator.Observe({{2000, 4000}, 0, duration(0)});
      estimator.Observe({{2000, 4000}, 0, -kDelay});
    }
    estimator.Update({});
    THEN("nothing is learned from them") {
      REQUIRE(estimator.own().observations == 0);
    }
  }

  WHEN("an overload leaves only calls that wait for others") {
    // Of the tokens that were known to wait, half are still to be computed.
    const engine_speed speed{20, 5, 0, 64};
    split_mix random(9);
    for (int i = 0; i < 128; ++i) {
      const prompt_work own{500 + random.NextBelow(4000), 5000};
      const std::uint32_t queued = 4000 + random.NextBelow(20'000);
      const prompt_work all{own.tokens + queued / 2, 50'000};
      estimator.Observe({own, queued, speed.FirstToken(all)});
    }
    estimator.Update({});
    THEN("the time of a waiting token is learned apart") {
      const engine_profile learned = estimator.profile();
      REQUIRE(learned.mean_us_per_token == Approx(55).epsilon(0.15));
      REQUIRE(learned.queued_us_per_token == Approx(27).epsilon(0.15));
    }
  }

  WHEN("all observations are equal, so that they determine no line") {
    for (int i = 0; i < 64; ++i) {
      estimator.Observe({{2000, 4000}, 0, kDelay});
    }
    estimator.Update({});

    THEN("the profile explains them and stays finite") {
      const engine_profile learned = estimator.profile();
      REQUIRE(IsPlausible(learned));
      const double expected =
          static_cast<double>(learned.PrefillTime({2000, 4000}).count()) +
          learned.fixed_us;
      REQUIRE(expected == Approx(500'000).epsilon(0.05));
    }
  }

  WHEN("delays and prompts are extreme") {
    for (int i = 0; i < 64; ++i) {
      estimator.Observe({{UINT32_MAX, UINT32_MAX}, 0, duration::max()});
      estimator.Observe({{128, UINT32_MAX}, 0, duration(1)});
    }
    estimator.Update({});
    THEN("the profile stays plausible") {
      REQUIRE(IsPlausible(estimator.profile()));
    }
  }
}

}  // namespace anvilloom
