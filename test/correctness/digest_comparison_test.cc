// Guards against two failures: continuous changes make every instance list the
// store although the states are equal, or a missed change stays undetected.

#include "instances/digest_comparison.h"

#include <catch2/catch.hpp>

namespace anvilloom {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(1000)};
constexpr duration kLimit = milliseconds(800);
constexpr duration kReport = milliseconds(400);

}  // namespace

SCENARIO("Continuously changing states are compared", "[digest_comparison]") {
  digest_comparison comparison(kLimit);
  comparison.Reset(kStart);
  time_point now = kStart;
  std::uint64_t state = 1;
  comparison.SetOwnDigest(state, now);

  GIVEN("a change every 100 ms and reports that are up to 400 ms old") {
    std::uint64_t reported = state;
    bool diverged = false;
    const auto run = [&](duration time, std::uint64_t missed) {
      const time_point end = now + time;
      while (now < end) {
        now += milliseconds(100);
        ++state;
        comparison.SetOwnDigest(state ^ missed, now);
        if ((now - kStart) % kReport == duration(0)) {
          reported = state;
        }
        diverged = comparison.HasDiverged(reported, now) || diverged;
      }
    };

    WHEN("no change is missed") {
      run(std::chrono::seconds(10), 0);

      THEN("the states count as equal") {
        REQUIRE_FALSE(diverged);
      }
    }

    WHEN("one change is missed") {
      constexpr std::uint64_t kMissed = 0x10000;
      run(std::chrono::seconds(3), kMissed);

      THEN("the divergence is detected while changes continue") {
        REQUIRE(diverged);
      }
    }
  }

  GIVEN("another instance that is ahead by a change") {
    REQUIRE_FALSE(comparison.HasDiverged(2, now + milliseconds(100)));

    WHEN("the change arrives here") {
      comparison.SetOwnDigest(2, now + milliseconds(300));

      THEN("the states count as equal") {
        REQUIRE_FALSE(comparison.HasDiverged(2, now + milliseconds(900)));
      }
    }

    WHEN("it never arrives") {
      THEN("the states count as diverged after the limit, reported once") {
        REQUIRE(comparison.HasDiverged(2, now + milliseconds(900)));
        REQUIRE_FALSE(comparison.HasDiverged(2, now + milliseconds(1000)));
      }
    }
  }
}

}  // namespace anvilloom
