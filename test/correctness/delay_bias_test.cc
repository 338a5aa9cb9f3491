// Guards against late first tokens in a burst, which occur when admission
// underestimates the work that is queued ahead of a call.

#include "links/delay_bias.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>

namespace anvilloom {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(1000)};

struct burst_result {
  int in_time = 0;
  int late = 0;
  int refused = 0;
};

// Simulates an engine that receives 1.5 times as many calls as it can prefill,
// while admission knows only 60% of the queued work. Calls with an expected
// delay of more than 400 ms are refused. The queue then stays at that bound, so
// a first token counts as late only if it exceeds the target by a tenth.
template <typename ExpectedDelay>
burst_result SimulateBurst(delay_bias& bias, ExpectedDelay expected_delay) {
  constexpr duration kTarget = milliseconds(400);
  constexpr duration kArrivalInterval = milliseconds(2);
  constexpr duration kPrefillTime = milliseconds(3);
  constexpr duration kBurstDuration = std::chrono::seconds(6);
  struct sent_call {
    duration first_token_at;
    duration expected;
    duration actual;
  };
  burst_result result;
  std::deque<sent_call> running;
  duration free_at{0};
  for (duration now{0}; now < kBurstDuration; now += kArrivalInterval) {
    while (!running.empty() && running.front().first_token_at <= now) {
      bias.Observe(running.front().expected, running.front().actual,
                   kStart + now);
      running.pop_front();
    }
    const duration queued = std::max(free_at - now, duration::zero());
    const duration expected = queued * 600 / 1000 + kPrefillTime;
    if (expected_delay(expected, kStart + now) > kTarget) {
      ++result.refused;
      continue;
    }
    free_at = now + queued + kPrefillTime;
    const duration actual = queued + kPrefillTime;
    running.push_back({free_at, expected, actual});
    ++(actual <= kTarget * 11 / 10 ? result.in_time : result.late);
  }
  return result;
}

}  // namespace

SCENARIO("Calls of a burst are refused before answers are late",
         "[delay_bias]") {
  delay_bias bias;

  WHEN("admission uses the expected delay") {
    const burst_result uncorrected = SimulateBurst(
        bias, [](duration expected, time_point) { return expected; });

    THEN("most answers are late") {
      REQUIRE(uncorrected.late > uncorrected.in_time);
    }
  }
  WHEN("admission applies the observed bias") {
    const burst_result corrected =
        SimulateBurst(bias, [&](duration expected, time_point now) {
          return bias.Apply(expected, now);
        });

    THEN(
        "over 80% of the answers are in time, and over 1,900 calls are "
        "served") {
      const int served = corrected.in_time + corrected.late;
      CAPTURE(corrected.in_time, corrected.late, corrected.refused);
      REQUIRE(corrected.late < served / 5);
      REQUIRE(served > 1900);
    }
  }
}

SCENARIO("The bias follows only relevant observations", "[delay_bias]") {
  delay_bias bias;

  THEN("without observations nothing is corrected") {
    REQUIRE(bias.Apply(milliseconds(300), kStart) == milliseconds(300));
  }
  WHEN("short delays are exceeded many times over") {
    for (int i = 0; i < 100; ++i) {
      bias.Observe(milliseconds(10), milliseconds(90), kStart);
    }
    THEN("the bias does not change") {
      REQUIRE(bias.permille(kStart) == 1000);
    }
  }
  WHEN("one engine is far too slow") {
    for (int i = 0; i < 1000; ++i) {
      bias.Observe(milliseconds(100), milliseconds(5000), kStart);
    }
    THEN("the bias is bounded, so that the service still admits calls") {
      REQUIRE(bias.permille(kStart) <= 2000);
    }
    AND_WHEN("nothing is observed for more than a second") {
      THEN("the bias expires, so that calls are admitted and observed") {
        REQUIRE(bias.permille(kStart) > 1900);
        REQUIRE(bias.permille(kStart + milliseconds(1001)) == 1000);
      }
    }
    AND_WHEN("first tokens are early again") {
      for (int i = 0; i < 100; ++i) {
        bias.Observe(milliseconds(200), milliseconds(50), kStart);
      }
      THEN("the bias falls, but never below the expected delay") {
        REQUIRE(bias.permille(kStart) >= 1000);
        REQUIRE(bias.permille(kStart) < 1020);
      }
    }
  }
}

}  // namespace anvilloom
