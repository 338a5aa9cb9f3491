// Guards against instances that all list the store because what they compare
// goes on changing, and against a missed change that nobody notices.

#include "instances/digest_comparison.h"

#include <catch2/catch.hpp>

namespace anvilloom {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(1000)};
constexpr duration kLimit = milliseconds(800);
constexpr duration kReport = milliseconds(400);

}  // namespace

SCENARIO("States that go on changing are compared", "[digest_comparison]") {
  digest_comparison compared(kLimit);
  compared.Reset(kStart);
  time_point now = kStart;
  std::uint64_t state = 1;
  compared.TakeOwn(state, now);

  GIVEN("a change every 100 ms and reports that are up to 400 ms old") {
    std::uint64_t reported = state;
    bool parted = false;
    const auto run = [&](duration time, std::uint64_t missed) {
      const time_point end = now + time;
      while (now < end) {
        now += milliseconds(100);
        ++state;
        compared.TakeOwn(state ^ missed, now);
        if ((now - kStart) % kReport == duration(0)) {
          reported = state;
        }
        parted = compared.HasParted(reported, now) || parted;
      }
    };

    WHEN("no change is missed") {
      run(std::chrono::seconds(10), 0);

      THEN("the states are taken as equal") {
        REQUIRE_FALSE(parted);
      }
    }

    WHEN("one change is missed") {
      constexpr std::uint64_t kMissed = 0x10000;
      run(std::chrono::seconds(3), kMissed);

      THEN("that shows, while changes go on") {
        REQUIRE(parted);
      }
    }
  }

  GIVEN("another instance that is ahead by a change") {
    REQUIRE_FALSE(compared.HasParted(2, now + milliseconds(100)));

    WHEN("the change arrives here") {
      compared.TakeOwn(2, now + milliseconds(300));

      THEN("nothing has parted") {
        REQUIRE_FALSE(compared.HasParted(2, now + milliseconds(900)));
      }
    }

    WHEN("it never arrives") {
      THEN("the states have parted after the limit, and that is told once") {
        REQUIRE(compared.HasParted(2, now + milliseconds(900)));
        REQUIRE_FALSE(compared.HasParted(2, now + milliseconds(1000)));
      }
    }
  }
}

}  // namespace anvilloom
