// Guards against all instances listing and watching the store at once when the
// few that watch it for them are cut off from it.

#include "instances/watch_duty.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace anvilloom {

namespace {

using std::chrono::milliseconds;

// Instances in the order of their ranks, that hear of each other's watches by
// reports.
class watched_store {
 public:
  explicit watched_store(std::size_t instances)
      : duties_(instances),
        reachable_(instances, true),
        watching_(instances, false),
        reported_(instances, false),
        begun_(instances, 0) {}

  void CutOff(std::size_t instance) { reachable_[instance] = false; }

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
        begun_[i] += watches && !watching_[i] ? 1 : 0;
        watching_[i] = watches;
      }
    }
  }

  std::size_t Watching() const {
    return static_cast<std::size_t>(std::ranges::count(watching_, true));
  }
  // How often a watch was begun.
  int Begun() const {
    int sum = 0;
    for (const int each : begun_) {
      sum += each;
    }
    return sum;
  }

 private:
  std::vector<watch_duty> duties_;
  std::vector<bool> reachable_;
  std::vector<bool> watching_;
  std::vector<bool> reported_;
  std::vector<int> begun_;
  time_point now_{std::chrono::seconds(1000)};
};

}  // namespace

SCENARIO("A few of many instances watch the store", "[watch_duty]") {
  GIVEN("sixty instances that have heard of each other") {
    watched_store store(60);
    store.Run(std::chrono::seconds(3));
    REQUIRE(store.Watching() == watch_duty::kWatchers);
    const int begun = store.Begun();

    WHEN("the watchers are cut off from the store") {
      for (std::size_t i = 0; i < watch_duty::kWatchers; ++i) {
        store.CutOff(i);
      }
      store.Run(std::chrono::seconds(1));

      THEN("others watch within a second, but not all of them") {
        REQUIRE(store.Watching() >= watch_duty::kWatchers);
        REQUIRE(store.Begun() - begun < 20);
      }
      AND_WHEN("time goes by") {
        store.Run(std::chrono::seconds(20));

        THEN("they do not take turns") {
          REQUIRE(store.Watching() == watch_duty::kWatchers);
          REQUIRE(store.Begun() - begun < 20);
        }
      }
    }
  }

  GIVEN("an instance that knows of no other") {
    watch_duty alone;

    THEN("it watches at once") {
      REQUIRE(alone.MustWatch(0, 0, time_point{std::chrono::seconds(1000)}));
    }
  }
}

}  // namespace anvilloom
