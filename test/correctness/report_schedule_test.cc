// Guards against the reports of all instances of a fleet arriving at each of
// them at the same moment, where they hold up its calls.

#include "instances/report_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "instances/peer_report.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

SCENARIO("Hundreds of instances that started together report",
         "[report_schedule]") {
  GIVEN("300 instances, each 15 intervals long") {
    constexpr std::size_t kInstances = 300;
    constexpr duration kRegular = seconds(3);
    const time_point start{seconds(1000)};
    const deadline startup_ends = deadline::After(start, seconds(3));
    std::map<std::int64_t, std::size_t> by_tenth_of_second;
    std::size_t early = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      report_schedule schedule(startup_ends, i);
      for (time_point now = start; now < start + kRegular * 15;) {
        early += schedule.IsStartingUp(now) ? 1 : 0;
        if (!schedule.IsStartingUp(now)) {
          ++by_tenth_of_second[now.time_since_epoch() / milliseconds(100)];
        }
        now += schedule.NextPause(milliseconds(200), kRegular, now);
      }
    }

    THEN("each reports every 200 ms in the first three seconds") {
      REQUIRE(early == kInstances * 15);
    }

    THEN("no tenth of a second has more than three times its share") {
      // The first regular report of each instance still comes with the others.
      by_tenth_of_second.erase(startup_ends.at().time_since_epoch() /
                               milliseconds(100));
      const auto largest = std::ranges::max_element(
          by_tenth_of_second, {}, [](const auto& each) { return each.second; });
      REQUIRE(largest->second <= 3 * kInstances / 30);
    }
  }
}

SCENARIO("The intervals between reports follow the size of the fleet",
         "[report_schedule]") {
  GIVEN("an instance that knows some others") {
    const auto members = GENERATE(as<std::size_t>(), 1, 7, 72, 300, 1000);
    peer_report_table table("self");
    for (std::size_t i = 1; i < members; ++i) {
      table.Expect("instance-" + std::to_string(i), "10.0.0.1:1",
                   time_point(seconds(1)));
    }
    constexpr duration kInterval = milliseconds(200);
    const duration startup = kInterval * table.StartupIntervalFactor();
    const duration regular = kInterval * table.IntervalFactor();

    THEN("it sends a few hundred reports a second while it starts") {
      CAPTURE(members);
      REQUIRE(static_cast<double>(members) * 1e6 /
                  static_cast<double>(startup.count()) <=
              800);
      REQUIRE(startup <= regular);
    }

    THEN("the startup of a small fleet stays as fast as it was") {
      if (members <= 72) {
        REQUIRE(startup == kInterval);
      }
    }
  }
}

}  // namespace anvilloom
