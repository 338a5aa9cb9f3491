// Guards against all instances listing and watching the store at once when the
// few watchers lose their connection to it.

#include "instances/watch_duty.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace anvilloom {

namespace {

using std::chrono::milliseconds;

// Simulates instances in rank order that learn of each other's watches from
// periodic reports.
class watch_simulation {
 public:
  explicit watch_simulation(std::size_t instances)
      : duties_(instances),
        reachable_(instances, true),
        watching_(instances, false),
        reported_(instances, false),
        watches_started_(instances, 0) {}

  void DisconnectFromStore(std::size_t instance) {
    reachable_[instance] = false;
  }

  void Run(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(50);
      if ((now_ - time_point{}) % milliseconds(400) == duration(0)) {
        reported_ = watching_;
      }
      for (std::size_t i = 0; i < duties_.size(); ++i) {
        const auto before = static_cast<std::size_t>(std::count(
            reported_.begin(),
            reported_.begin() + static_cast<std::ptrdiff_t>(i), true));
        const bool watches =
            duties_[i].MustWatch(i, before, now_) && reachable_[i];
        watches_started_[i] += watches && !watching_[i] ? 1 : 0;
        watching_[i] = watches;
      }
    }
  }

  std::size_t Watching() const {
    return static_cast<std::size_t>(std::ranges::count(watching_, true));
  }
  // Number of watches started by all instances.
  int WatchesStarted() const {
    int sum = 0;
    for (const int each : watches_started_) {
      sum += each;
    }
    return sum;
  }

 private:
  std::vector<watch_duty> duties_;
  std::vector<bool> reachable_;
  std::vector<bool> watching_;
  std::vector<bool> reported_;
  std::vector<int> watches_started_;
  time_point now_{std::chrono::seconds(1000)};
};

}  // namespace

SCENARIO("A few of many instances watch the store", "[watch_duty]") {
  GIVEN("sixty instances that know each other") {
    watch_simulation simulation(60);
    simulation.Run(std::chrono::seconds(3));
    REQUIRE(simulation.Watching() == watch_duty::kWatcherCount);
    const int started_before = simulation.WatchesStarted();

    WHEN("the watchers lose their connection to the store") {
      for (std::size_t i = 0; i < watch_duty::kWatcherCount; ++i) {
        simulation.DisconnectFromStore(i);
      }
      simulation.Run(std::chrono::seconds(1));

      THEN("some of the others, but not all, watch within a second") {
        REQUIRE(simulation.Watching() >= watch_duty::kWatcherCount);
        REQUIRE(simulation.WatchesStarted() - started_before < 20);
      }
      AND_WHEN("more time passes") {
        simulation.Run(std::chrono::seconds(20));

        THEN("the watchers stay the same") {
          REQUIRE(simulation.Watching() == watch_duty::kWatcherCount);
          REQUIRE(simulation.WatchesStarted() - started_before < 20);
        }
      }
    }
  }

  GIVEN("an instance that knows no other") {
    watch_duty alone;

    THEN("it watches at once") {
      REQUIRE(alone.MustWatch(0, 0, time_point{std::chrono::seconds(1000)}));
    }
  }
}

}  // namespace anvilloom
