// Guards against prompts that crash upstreams being sent on and on because they
// have many parts.

#include <catch2/catch.hpp>
#include <chrono>

#include "test/support/crash_simulation.h"
#include "test/support/sanitizer.h"

namespace anvilloom {

namespace {

using std::chrono::seconds;

}  // namespace

// Guards against a part that is never found because it stands behind more parts
// than are looked at, kept or reported.
SCENARIO("A part that crashes upstreams is found in prompts of many parts",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, kSanitized ? 2U : 4U));
  options.deadly_share = 0.05;
  options.calls_per_second = 20;
  const auto many = GENERATE(17U, 600U, 4'000U);
  CAPTURE(options.seed, many);

  GIVEN("many parts that all calls share") {
    options.common_parts = many;
    crash_simulation simulation(options);
    simulation.Run(seconds(30));
    THEN("at most three calls with the part are sent once it is known") {
      REQUIRE(SentLate(simulation, seconds(3)) <= 3);
    }
    THEN("hardly any sound call is refused") {
      REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
    }
    THEN("no instance sends more than one message to a few others at a time") {
      REQUIRE(simulation.fits_one_message());
    }
  }
  GIVEN("many parts that each call has for itself") {
    options.own_parts = many;
    crash_simulation simulation(options);
    simulation.Run(seconds(30));
    THEN("at most three calls with the part are sent once it is known") {
      REQUIRE(SentLate(simulation, seconds(3)) <= 3);
    }
    THEN("no instance sends more than one message to a few others at a time") {
      REQUIRE(simulation.fits_one_message());
    }
  }
}

}  // namespace anvilloom
