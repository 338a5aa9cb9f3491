// Guards against live upstreams that lose their work, or upstreams that are
// gone and keep it, because of what instances conclude from a store that is
// away, and against calls to such a store that grow with the instances.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "instances/watch_duty.h"
#include "test/support/gateway_fleet.h"

namespace anvilloom {

namespace {

using boost::beast::http::verb;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wall_clock = std::chrono::steady_clock;

// Time from the acknowledgement of a manifest until it must be in force on
// every instance, and from that of an upstream's leaving until it must get no
// new call: the smallest ones of the user requirements.
constexpr milliseconds kApplyTime{2000};
constexpr milliseconds kDrainTime{2000};

// An entry lapses after three missed heartbeats, and the last one before an
// outage was up to one earlier; with the shortest interval of the requirements.
constexpr milliseconds kLapseTime{2400};
// Entries of live upstreams are back this long after the store.
constexpr milliseconds kReturnTime{1500};

// Reports are further apart than a short outage of the store lasts.
constexpr std::string_view kRareReportSettings =
    R"(,"report_interval_ms":4000)";

constexpr unsigned kUnavailable = 503;

}  // namespace

// Guards against work that goes on to an upstream that is gone because a view
// that is late is taken for a sign of a store outage.
SCENARIO("An entry is removed while the watching instances are stopped",
         "[store_outage]") {
  GIVEN("eight gateways, of which the watching ones are paused at once") {
    gateway_fleet fleet(8);
    fleet.AnnounceUpstreams(1);
    REQUIRE(
        Eventually([&] { return fleet.Using(0).size() == 8; }, seconds(20)));
    std::vector<std::string> running = fleet.ByRank();
    const auto first_running = running.begin() + static_cast<std::ptrdiff_t>(
                                                     watch_duty::kWatcherCount);
    for (auto name = running.begin(); name != first_running; ++name) {
      fleet.system().process(*name).Pause();
    }
    running.erase(running.begin(), first_running);

    WHEN("the entry of an upstream is removed") {
      fleet.WithdrawUpstream(0);
      const auto unused_by = wall_clock::now() + kDrainTime;

      THEN("no other gateway uses it after the time to drain") {
        std::this_thread::sleep_until(unused_by);
        const std::vector<std::string> users = fleet.Using(0, running);
        CAPTURE(users);
        REQUIRE(users.empty());
      }
    }
  }
}

// Guards against instances that don't watch the store and drop live upstreams
// at the end of an outage, since only the watching ones know of it.
SCENARIO("Entries lapse while nobody can read the store", "[store_outage]") {
  GIVEN("eight gateways whose reads of the store fail") {
    const std::string action = GENERATE("refuse", "hang");
    CAPTURE(action);
    // Others begin to watch once they hear that the watching ones can't, which
    // takes longer than the outage where reports are far apart.
    gateway_fleet fleet(8, kRareReportSettings);
    fleet.AnnounceUpstreams(2);
    REQUIRE(
        Eventually([&] { return fleet.Using(0).size() == 8; }, seconds(20)));
    fleet.system().AddFault(
        "platform", R"({"action":")" + action +
                        R"(","method":"GET","path":"/anvilloom/objects")"
                        R"(,"delay_ms":)" +
                        (action == "hang" ? "60000" : "0") +
                        R"(,"count":1000000})");
    // Ends the watches that had been waiting before.
    fleet.system().PutManifest();
    fleet.DrainUpstream(1);
    std::this_thread::sleep_for(milliseconds(300));

    WHEN("an entry lapses and the store answers again") {
      std::this_thread::sleep_for(kLapseTime);
      fleet.WithdrawUpstream(0);
      Call(fleet.system().port("platform"), verb::delete_, "/faults");
      const auto back_at = wall_clock::now() + kReturnTime;

      THEN("all use the upstream until the entry is back") {
        while (wall_clock::now() < back_at) {
          const std::vector<std::string> users = fleet.Using(0);
          CAPTURE(users);
          REQUIRE(users.size() == 8);
        }
        fleet.AnnounceUpstream(0);
        std::this_thread::sleep_for(kApplyTime);
        REQUIRE(fleet.Using(0).size() == 8);
      }

      AND_WHEN("the entry doesn't come back") {
        THEN("none uses the upstream any more") {
          REQUIRE(
              Eventually([&] { return fleet.Using(0).empty(); }, seconds(10)));
        }
      }
    }
  }
}

// Guards against calls to a store that is away whose number grows with the
// instances, since each one takes on the watch that nobody else has.
SCENARIO("The store refuses all calls for a while", "[store_outage]") {
  GIVEN("forty gateways whose calls for the upstreams are refused") {
    gateway_fleet fleet(40);
    // Ten attempts a second of all instances, and those of the watchers.
    constexpr int kMostCalls = 400;
    fleet.system().AddFault(
        "platform",
        R"({"action":"refuse","method":"GET","path":"/anvilloom/objects/servers",)"
        R"("count":)" +
            std::to_string(kMostCalls) + "}");
    // Ends the watches that had been waiting before.
    fleet.system().Announce("upstream-1", "model", 9);

    WHEN("twelve seconds have passed") {
      std::this_thread::sleep_for(seconds(12));

      THEN("they have called it a limited number of times") {
        REQUIRE(Call(fleet.system().port("platform"), verb::get,
                     "/anvilloom/objects/servers")
                    .status == kUnavailable);
      }
    }
  }
}

}  // namespace anvilloom
