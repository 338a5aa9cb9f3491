// Guards against prompts that crash upstreams being sent on and on by a fleet
// of instances, and against sound prompts being refused because of them.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <tuple>

#include "test/support/crash_simulation.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs a fleet of seven instances with parts that crash upstreams by turns, for
// each of several seeds, numbers of parts and shares of the calls. A run
// repeats exactly, so the scenarios share it: under a sanitizer it takes long.
const crash_simulation& RunWithSeveralParts() {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 6U));
  options.deadly_parts = GENERATE(2U, 3U, 5U, 8U);
  options.deadly_share = GENERATE(0.02, 0.1);
  static std::map<std::tuple<std::uint32_t, std::uint64_t, double>,
                  crash_simulation>
      runs;
  const auto [run, is_new] = runs.try_emplace(
      {options.seed, options.deadly_parts, options.deadly_share}, options);
  if (is_new) {
    run->second.Run(seconds(180));
  }
  return run->second;
}

}  // namespace

// Guards against upstreams that end one after the other, and against refusing
// the sound calls that share a workspace, a route and parts with the others.
SCENARIO("A part that crashes upstreams is found among sound ones",
         "[crash_suspects]") {
  const std::uint32_t seed = GENERATE(range(1U, 41U));
  crash_simulation::options options;
  options.seed = seed;
  options.attempts = 1 + static_cast<int>(seed % 3);
  options.deadly_share = seed % 2 == 0 ? 0.02 : 0.1;
  CAPTURE(seed);

  GIVEN("a fleet of seven instances") {
    crash_simulation simulation(options);
    simulation.Run(seconds(90));

    THEN("at most three calls with it are sent late, sound ones are served") {
      REQUIRE(SentLate(simulation, seconds(3)) <= 3);
      REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
    }
  }

  GIVEN("a large fleet with many calls, of which each instance sees few") {
    options.instances = 100;
    options.upstreams = 80;
    options.calls_per_second = 180;
    options.deadly_share = 0.04;
    options.middle_parts = 400;
    crash_simulation simulation(options);
    simulation.Run(seconds(30));

    THEN("at most three calls with it are sent late, sound ones are served") {
      REQUIRE(SentLate(simulation, seconds(5)) <= 3);
      REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
    }
  }
}

// Guards against parts that are never blocked because each of them explains few
// of the ends that all of them cause.
SCENARIO("Several parts that crash upstreams by turns are all found",
         "[crash_suspects]") {
  const crash_simulation& simulation = RunWithSeveralParts();
  CAPTURE(simulation.seed(), simulation.deadly().size(),
          simulation.deadly_share());
  THEN("at most three calls with each are sent once it is known") {
    REQUIRE(SentLate(simulation, seconds(3)) <= 3);
  }
}

// Guards against refusing sound calls until each of several parts is found.
SCENARIO("Several parts that crash upstreams by turns block hardly a sound one",
         "[crash_suspects]") {
  const crash_simulation& simulation = RunWithSeveralParts();
  CAPTURE(simulation.seed(), simulation.deadly().size(),
          simulation.deadly_share());
  THEN("hardly any sound call is refused") {
    REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
  }
}

// Guards against blaming prompts for upstreams that end for other reasons.
SCENARIO("Upstreams that end by themselves make no part suspicious for long",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 21U));
  options.deadly_share = 0;
  options.outage_interval = seconds(4);
  CAPTURE(options.seed);

  WHEN("a third of them ends at once, again and again") {
    crash_simulation simulation(options);
    simulation.Run(seconds(60));
    THEN("hardly any call is refused") {
      REQUIRE(simulation.sound_refused() * 500 <= simulation.sound_calls());
    }
  }
}

// Guards against refusing sound calls, and against exchanging ever more reports
// of them, while many upstreams end one after the other and the others answer
// late.
SCENARIO("Half of the upstreams of a large fleet end within seconds",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 11U));
  options.deadly_share = 0;
  options.instances = 100;
  options.upstreams = 80;
  options.calls_per_second = 180;
  options.first_parts = 4;
  options.middle_parts = 400;
  options.longest_answer = seconds(2);
  options.report_delay = milliseconds(100);
  options.wave = seconds(3);
  CAPTURE(options.seed);
  crash_simulation simulation(options);
  simulation.Run(seconds(20));

  THEN("hardly any call is refused") {
    CAPTURE(simulation.sound_refused(), simulation.sound_calls());
    REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
  }
  THEN("no instance sends more than one message to a few others at a time") {
    REQUIRE(simulation.fits_one_message());
  }
}

// Guards against sound parts that are blocked because the ends of upstreams
// beside them are added up over restarts, while the answers are forgotten.
SCENARIO("Ends of upstreams that have other causes are stored",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 6U));
  options.deadly_share = 0;
  options.failure_interval = milliseconds(700);
  options.restart_interval = seconds(5);
  CAPTURE(options.seed);

  GIVEN("upstreams that end one after the other and restarts of all") {
    const auto middle_parts = GENERATE(5, 60, 400);
    options.middle_parts = middle_parts;
    CAPTURE(middle_parts);
    crash_simulation simulation(options);
    simulation.Run(seconds(100));
    THEN("hardly any call is refused") {
      CAPTURE(simulation.sound_refused(), simulation.sound_calls());
      REQUIRE(simulation.sound_refused() * 500 <= simulation.sound_calls());
    }
  }
}

// Guards against a part that is never blocked because of restarts.
SCENARIO("A part that crashes upstreams is found across restarts",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 11U));
  options.deadly_share = 0.01;
  options.restart_interval = seconds(9);
  CAPTURE(options.seed);
  crash_simulation simulation(options);
  simulation.Run(seconds(90));
  THEN("at most three calls with it are sent once it is known") {
    REQUIRE(SentLate(simulation, seconds(3)) <= 3);
  }
  THEN("hardly any sound call is refused") {
    REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
  }
}

// Guards against a verdict that outlives its cause.
SCENARIO("A blocked part is tried again and cleared by an answer",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 11U));
  options.deadly_share = 0.1;
  CAPTURE(options.seed);
  crash_simulation simulation(options);
  simulation.Run(seconds(10));
  REQUIRE(simulation.suspects(0).blocked() > 0);

  WHEN("the upstreams have been mended") {
    simulation.Mend();
    simulation.Run(seconds(60));
    THEN("its calls are served again by all instances") {
      REQUIRE(simulation.deadly_answered() > 10);
      for (std::size_t i = 0; i < options.instances; ++i) {
        REQUIRE(simulation.suspects(i).blocked() == 0);
      }
    }
  }
}

}  // namespace anvilloom
