// Guards against routing that ignores the load other clients put on an engine,
// because the engine has no owner, its owner died, or an old report overwrote a
// newer one.

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <thread>

#include "common/hash.h"
#include "test/support/local_system.h"
#include "wire/load_codec.h"
#include "wire/peer_transport.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;
namespace json = boost::json;

constexpr std::string_view kLoaded = "engine-1";
// More than the declared slots of "engine-1".
constexpr int kForeignStreams = 10;
// A poll starts every 1 s and times out after 500 ms. 700 ms after a time-out,
// the next poll has been waiting for 200 ms.
constexpr std::chrono::milliseconds kIntoNextPoll{700};
// Enough time for the engine to answer the poll.
constexpr std::chrono::milliseconds kAnswerTime{300};
// At 20 ms per token, these streams outlast each test.
constexpr std::uint32_t kForeignTokens = 4000;

// A system in one region with two engines, of which "engine-1" is cheaper and
// has few slots, and with entry instances that are members of one cluster.
class loaded_system {
 public:
  explicit loaded_system(
      const std::vector<std::string>& entries,
      std::string_view extra = {},
      const std::vector<std::string>& engine_arguments = {}) {
    system_.Start("objects", "standins/standin_objects");
    const auto first =
        system_.Start("e1", "standins/standin_engine", engine_arguments);
    const auto second = system_.Start("e2", "standins/standin_engine");
    std::string seeds;
    for (const std::string& name : entries) {
      system_.StartEntry(
          name, "zone-b",
          R"(,"peer_listen":"127.0.0.1:0")" + std::string(extra) + seeds);
      if (seeds.empty()) {
        seeds = R"(,"seeds":["127.0.0.1:)" +
                std::to_string(system_.peer_port(name)) + "\"]";
      }
    }
    system_.WriteConfiguration("10-all.json",
                               TestConfiguration({first, second}, {}));
    system_.WriteConfiguration("20-cheap.json", R"({"upstreams":{"engine-1":{
        "slots":4,"price_per_hour_micros":1000}}})");
    REQUIRE(system_.PublishConfiguration() == 0);
    for (const std::string& name : entries) {
      REQUIRE(system_.AwaitReady(name));
      REQUIRE(Eventually(
          [&] {
            return Dump(name).at("members").as_array().size() == entries.size();
          },
          std::chrono::seconds(20)));
    }
  }

  local_system& system() { return system_; }

  json::value Dump(std::string_view name) const {
    const caller_answer dump =
        Call(system_.admin_port(name), http_verb::get, "/dump");
    return dump.status == 200 ? json::parse(dump.body)
                              : json::value{{"members", json::array()},
                                            {"links", json::array()}};
  }

  // An entry instance's link to "engine-1"; null if it has none.
  json::value Link(std::string_view name) const {
    const json::value dump = Dump(name);
    for (const json::value& each : dump.at("links").as_array()) {
      if (each.at("upstream").as_string() == kLoaded) {
        return each;
      }
    }
    return nullptr;
  }

  std::int64_t Running(std::string_view name) const {
    const json::value link = Link(name);
    return link.is_null() ? -1 : link.at("running").to_number<std::int64_t>();
  }

  // Whether the latest report is less than two poll intervals old.
  bool HasFreshReport(std::string_view name) const {
    const json::value link = Link(name);
    return !link.is_null() && !link.at("report_age_us").is_null() &&
           link.at("report_age_us").to_number<std::int64_t>() < 2'000'000;
  }

  std::string OwnerSeenBy(std::string_view name) const {
    const json::value link = Link(name);
    return link.is_null() ? "" : std::string(link.at("load_owner").as_string());
  }

  // Starts streams on "engine-1" that bypass the entry instances.
  void LoadEngine() {
    for (int i = 0; i < kForeignStreams; ++i) {
      foreign_.push_back(std::async(std::launch::async, [this, i] {
        Call(system_.port("e1"), http_verb::post, "/v1/chat/completions",
             R"({"request_id":"foreign-)" + std::to_string(i) +
                 R"(","messages":[],"max_tokens":)" +
                 std::to_string(kForeignTokens) + "}",
             {}, kForeignMs);
      }));
    }
  }

  std::int64_t RequestsSeen(std::string_view engine) const {
    const caller_answer seen =
        Call(system_.port(engine), http_verb::get, "/seen");
    return json::parse(seen.body).at("requests").to_number<std::int64_t>();
  }

 private:
  static constexpr std::uint32_t kForeignMs = 60'000;

  // Destroyed after the system, since killing its engines ends these calls.
  std::vector<std::future<void>> foreign_;
  local_system system_;
};

constexpr duration kSoon = std::chrono::seconds(20);

bool IsReply(const caller_answer& answer) {
  return answer.status == 200;
}

}  // namespace

SCENARIO("Entry instances avoid an engine that other clients have loaded",
         "[load_reports]") {
  const bool polls = GENERATE(true, false);

  GIVEN("two entry instances " << (polls ? "with" : "without")
                               << " polling, and a loaded cheap engine") {
    loaded_system world({"entry-a", "entry-b"},
                        polls ? "" : R"(,"load_interval_ms":0)");
    world.LoadEngine();
    REQUIRE(Eventually(
        [&] { return world.RequestsSeen("e1") == kForeignStreams; }, kSoon));
    if (polls) {
      for (const std::string_view name : {"entry-a", "entry-b"}) {
        REQUIRE(Eventually(
            [&] { return world.Running(name) == kForeignStreams; }, kSoon));
      }
    }

    WHEN("each of them receives requests") {
      for (const std::string_view name : {"entry-a", "entry-b"}) {
        for (int i = 0; i < 5; ++i) {
          const std::string prompt =
              std::string(name) + " asks " + std::to_string(i);
          REQUIRE(IsReply(Call(world.system().port(name), http_verb::post,
                               "/v1/chat/completions",
                               ChatBody(prompt, 20, false))));
        }
      }

      THEN("the requests go to the idle engine only with polling") {
        const std::int64_t to_loaded =
            world.RequestsSeen("e1") - kForeignStreams;
        std::cout << "polls=" << polls << " to_loaded_engine=" << to_loaded
                  << " to_idle_engine=" << world.RequestsSeen("e2") << '\n';
        if (polls) {
          REQUIRE(to_loaded == 0);
        } else {
          REQUIRE(to_loaded > 0);
        }
      }
    }
  }
}

SCENARIO("The owner of an engine is killed", "[load_reports]") {
  GIVEN("three entry instances that all have reports of an engine") {
    const std::vector<std::string> names = {"entry-a", "entry-b", "entry-c"};
    loaded_system world(names);
    const std::string owner = world.OwnerSeenBy("entry-a");
    REQUIRE_FALSE(owner.empty());
    for (const std::string& name : names) {
      REQUIRE(world.OwnerSeenBy(name) == owner);
      REQUIRE(Eventually([&] { return world.HasFreshReport(name); }, kSoon));
    }

    WHEN("the owner is killed and the load changes") {
      world.system().process(owner).Kill();
      world.LoadEngine();
      const auto begin = std::chrono::steady_clock::now();

      THEN("another instance takes over, and the others receive the load") {
        for (const std::string& name : names) {
          if (name == owner) {
            continue;
          }
          REQUIRE(Eventually(
              [&] {
                const std::string next = world.OwnerSeenBy(name);
                return !next.empty() && next != owner &&
                       world.Running(name) == kForeignStreams;
              },
              std::chrono::seconds(15)));
        }
        std::cout << "takeover_s="
                  << std::chrono::duration<double>(
                         std::chrono::steady_clock::now() - begin)
                         .count()
                  << '\n';
      }
    }
  }
}

SCENARIO("The owner of an engine is paused and resumed", "[load_reports]") {
  GIVEN("three entry instances, and the owner paused until it was replaced") {
    const std::vector<std::string> names = {"entry-a", "entry-b", "entry-c"};
    loaded_system world(names);
    const std::string owner = world.OwnerSeenBy("entry-a");
    for (const std::string& name : names) {
      REQUIRE(Eventually([&] { return world.HasFreshReport(name); }, kSoon));
    }
    // The engine answers a poll while its owner is paused, so that a stale
    // report is queued in the owner's socket.
    world.system().process("e1").Pause();
    REQUIRE(Eventually(
        [&] {
          return world.system().process(owner).Output().find(
                     "load_unavailable upstream=engine-1") != std::string::npos;
        },
        kSoon));
    std::this_thread::sleep_for(kIntoNextPoll);
    world.system().process(owner).Pause();
    world.system().process("e1").Continue();
    std::this_thread::sleep_for(kAnswerTime);
    world.LoadEngine();
    for (const std::string& name : names) {
      if (name != owner) {
        REQUIRE(Eventually(
            [&] { return world.Running(name) == kForeignStreams; }, kSoon));
      }
    }

    WHEN("the owner is resumed") {
      world.system().process(owner).Continue();

      THEN("its stale reports are ignored, and it receives the new load") {
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(6);
        while (std::chrono::steady_clock::now() < end) {
          for (const std::string& name : names) {
            if (name != owner) {
              REQUIRE(world.Running(name) == kForeignStreams);
            }
          }
          internal::SleepPollInterval();
        }
        REQUIRE(Eventually(
            [&] { return world.Running(owner) == kForeignStreams; }, kSoon));
        REQUIRE(
            Eventually([&] { return world.HasFreshReport("entry-a"); }, kSoon));
      }
    }
  }
}

SCENARIO("A delayed load summary arrives", "[load_reports]") {
  GIVEN("an entry instance that polls an engine with ten streams") {
    loaded_system world({"entry-a"});
    world.LoadEngine();
    REQUIRE(Eventually(
        [&] { return world.Running("entry-a") == kForeignStreams; }, kSoon));
    peer_transport sender("127.0.0.1:0", {});
    sender.Start({[](peer_message&&) {}, [] {}});
    const std::string to =
        "127.0.0.1:" + std::to_string(world.system().peer_port("entry-a"));
    const auto send = [&](std::uint32_t term) {
      load_summary summary;
      summary.round = 1;
      summary.engines.push_back(
          {ShortUpstreamId(Hash64(kLoaded)), term, {77, 0, 0}, 0});
      REQUIRE(sender.Send(to, {sender.address(), 0, summary}));
    };
    // Counts how often the forged load is visible within 3 s, which covers the
    // next polls.
    const auto seen = [&] {
      int count = 0;
      const auto end =
          std::chrono::steady_clock::now() + std::chrono::milliseconds(3000);
      while (std::chrono::steady_clock::now() < end) {
        count += world.Running("entry-a") == 77 ? 1 : 0;
        internal::SleepPollInterval();
      }
      return count;
    };

    THEN("it is dropped if it is from an earlier round of the same term") {
      send(1);
      REQUIRE(seen() == 0);
    }
    THEN("it is used until the next poll if it is from a later owner") {
      send(9);
      REQUIRE(seen() > 0);
      REQUIRE(world.Running("entry-a") == kForeignStreams);
    }
    sender.Stop(std::chrono::milliseconds(100));
  }
}

SCENARIO("The prefill speed is estimated from the usage in a response",
         "[load_reports]") {
  GIVEN("a cheap engine that takes 500 us per prompt token") {
    loaded_system world({"entry-a"}, {}, {"--prefill-us", "500"});

    WHEN("it answers a prompt of about 1,000 tokens, and a short one") {
      const std::string prompt(4'000, 'x');
      for (const std::string& each : {prompt, std::string("short")}) {
        REQUIRE(
            IsReply(Call(world.system().port("entry-a"), http_verb::post,
                         "/v1/chat/completions", ChatBody(each, 5, false))));
      }

      THEN("the link has the time per token, also after the short prompt") {
        const double us = world.Link("entry-a")
                              .at("prefill_us_per_token")
                              .to_number<double>();
        std::cout << "prefill_us_per_token=" << us << '\n';
        REQUIRE(us > 400);
        REQUIRE(us < 1'000);
      }
    }
  }
}

SCENARIO("The version of an idle engine changes", "[load_reports]") {
  GIVEN("two entry instances that know the version of an engine") {
    loaded_system world({"entry-a", "entry-b"});
    for (const std::string_view name : {"entry-a", "entry-b"}) {
      REQUIRE(Eventually([&] { return world.HasFreshReport(name); }, kSoon));
    }
    // Long enough to receive the versions, which only every fourth load
    // summary repeats.
    std::this_thread::sleep_for(std::chrono::seconds(5));

    WHEN("its version changes and no request is sent to it") {
      REQUIRE(Call(world.system().port("e1"), http_verb::post, "/version",
                   R"({"version":"v2"})")
                  .status == 200);

      THEN("both instances quarantine it because of the version change") {
        for (const std::string_view name : {"entry-a", "entry-b"}) {
          REQUIRE(Eventually(
              [&] {
                return world.system().process(name).Output().find(
                           "upstream=engine-1 cause=version_change") !=
                       std::string::npos;
              },
              kSoon));
        }
      }
    }
  }
}

}  // namespace anvilloom
