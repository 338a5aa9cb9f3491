// Guards against revisions that reach instances without a watch too late, and
// against instances that restart or resume while the object API is down and
// then keep an old revision or none.

#include <algorithm>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "test/support/local_system.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::string_view kPeers = R"(,"peer_listen":"127.0.0.1:0")";

std::uint64_t RevisionAt(const local_system& system, std::string_view name) {
  const caller_answer dump =
      Call(system.admin_port(name), http_verb::get, "/dump");
  return dump.status == 200 ? boost::json::parse(dump.body)
                                  .at("revision")
                                  .to_number<std::uint64_t>()
                            : 0;
}

std::string Seeds(const local_system& system, std::string_view name) {
  return R"(,"seeds":["127.0.0.1:)" + std::to_string(system.peer_port(name)) +
         "\"]";
}

void SetOutage(const local_system& system, bool down) {
  const std::uint16_t objects = system.port("objects");
  if (down) {
    Call(objects, http_verb::post, "/faults",
         R"({"action":"refuse","path":"/objects","count":1000000})");
  } else {
    Call(objects, http_verb::delete_, "/faults");
  }
}

}  // namespace

SCENARIO("A revision reaches instances without a watch", "[relay]") {
  GIVEN("five entry instances in one failure domain") {
    local_system system;
    system.Start("objects", "standins/standin_objects");
    const auto engine = system.Start("e1", "standins/standin_engine");
    std::vector<std::string> names = {"entry-a"};
    system.StartEntry("entry-a", "zone-a", kPeers);
    for (const std::string name :
         {"entry-b", "entry-c", "entry-d", "entry-e"}) {
      system.StartEntry(name, "zone-a",
                        std::string(kPeers) + Seeds(system, "entry-a"));
      names.push_back(name);
    }
    system.WriteConfiguration("10-all.json", TestConfiguration({engine}, {}));
    REQUIRE(system.PublishConfiguration() == 0);
    for (const std::string& name : names) {
      REQUIRE(system.AwaitReady(name));
    }

    WHEN("revisions are published one after another") {
      // Only two of the five instances hold a watch. The others poll every
      // 20 s, so they meet the limit of 10 s only through the relay.
      std::this_thread::sleep_for(std::chrono::seconds(4));
      double slowest_s = 0;
      for (int i = 0; i < 5; ++i) {
        system.WriteConfiguration(
            "20-limits.json",
            R"({"limits":{"retry_permille":)" + std::to_string(100 + i) + "}}");
        const std::uint64_t before = RevisionAt(system, "entry-a");
        REQUIRE(system.PublishConfiguration() == 0);
        const auto begin = std::chrono::steady_clock::now();
        for (const std::string& name : names) {
          REQUIRE(Eventually([&] { return RevisionAt(system, name) > before; },
                             std::chrono::seconds(10)));
        }
        slowest_s =
            std::max(slowest_s, std::chrono::duration<double>(
                                    std::chrono::steady_clock::now() - begin)
                                    .count());
      }

      THEN("each is active on all instances within 10 s") {
        std::cout << "publish_to_in_force_everywhere_s=" << slowest_s << '\n';
        REQUIRE(slowest_s < 10);
      }
    }

    WHEN("one instance restarts while the object API is down") {
      const std::uint64_t newest = RevisionAt(system, "entry-a");
      SetOutage(system, true);
      system.process("entry-e").Kill();
      system.StartEntry("entry-e", "zone-a",
                        std::string(kPeers) + Seeds(system, "entry-a"));

      THEN("it gets the newest revision from its peers") {
        REQUIRE(system.AwaitReady("entry-e"));
        REQUIRE(RevisionAt(system, "entry-e") == newest);
        REQUIRE(system.process("entry-e").Output().find("E520") !=
                std::string::npos);
      }
    }

    WHEN("one instance is paused while a revision is published") {
      system.process("entry-d").Pause();
      system.WriteConfiguration("20-limits.json",
                                R"({"limits":{"retry_permille":50}})");
      const std::uint64_t before = RevisionAt(system, "entry-a");
      REQUIRE(system.PublishConfiguration() == 0);
      REQUIRE(Eventually([&] { return RevisionAt(system, "entry-a") > before; },
                         std::chrono::seconds(10)));
      SetOutage(system, true);
      system.process("entry-d").Continue();

      THEN("it gets the revision from its peers while the object API is down") {
        REQUIRE(Eventually(
            [&] {
              return RevisionAt(system, "entry-d") ==
                     RevisionAt(system, "entry-a");
            },
            std::chrono::seconds(10)));
      }
    }
  }
}

}  // namespace anvilloom
