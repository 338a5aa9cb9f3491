// Guards against faults that show only between separate processes: sends
// requests from a caller through an entry instance to an upstream and back.

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include "test/support/local_system.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

std::string AnswerText(const caller_answer& answer) {
  const auto parsed = boost::json::parse(answer.body);
  return std::string(
      parsed.at("choices").at(0).at("message").at("content").as_string());
}

}  // namespace

SCENARIO("A request runs through separate processes", "[whole_path]") {
  GIVEN("two entry instances, two engines and a plain service") {
    local_system system;
    system.Start("objects", "standins/standin_objects");
    const std::vector<std::string> fast = {"--first-token-us", "1000",
                                           "--token-interval-us", "1000"};
    const auto engine_1 = system.Start("e1", "standins/standin_engine", fast);
    const auto engine_2 = system.Start("e2", "standins/standin_engine", fast);
    const auto service = system.Start("s1", "standins/standin_service");
    const auto entry_a = system.StartEntry("entry-a", "zone-a");
    const auto entry_b = system.StartEntry("entry-b", "zone-b");
    system.WriteConfiguration(
        "10-all.json", TestConfiguration({engine_1, engine_2}, {service}));
    REQUIRE(system.PublishConfiguration() == 0);
    REQUIRE(system.AwaitReady("entry-a"));
    REQUIRE(system.AwaitReady("entry-b"));

    WHEN("a caller asks for a whole answer") {
      const caller_answer answer =
          Call(entry_a, http_verb::post, "/v1/chat/completions",
               ChatBody("a plan", 20, false));

      THEN("it gets the complete expected answer") {
        REQUIRE(answer.status == 200);
        REQUIRE(AnswerText(answer) == ExpectedAnswer("a plan", 20));
      }
    }

    WHEN("a caller asks for a stream") {
      const caller_answer answer =
          Call(entry_b, http_verb::post, "/v1/chat/completions",
               ChatBody("a plan", 5, true));

      THEN("it ends with the end marker") {
        REQUIRE(answer.status == 200);
        REQUIRE(answer.body.ends_with("data: [DONE]\n\n"));
      }
    }

    WHEN("a caller calls a plain service") {
      const caller_answer answer =
          Call(entry_a, http_verb::get, "/s/lookup/slots/7");

      THEN("the answer is forwarded") {
        REQUIRE(answer.status == 200);
        REQUIRE(answer.body.find("/slots/7") != std::string::npos);
      }
    }

    WHEN("a caller has an unknown credential") {
      const caller_answer answer =
          Call(entry_a, http_verb::get, "/s/lookup/slots/7", {},
               {{"Authorization", "Bearer wrong"}});

      THEN("the request is refused as not run") {
        REQUIRE(answer.status == 401);
        REQUIRE(answer.body.find(R"("outcome":"not_run")") !=
                std::string::npos);
      }
    }

    WHEN("an operator adds a file that declares a further service") {
      system.WriteConfiguration("20-more.json",
                                R"({"services": {"extra": {"kind": "plain"}},
            "upstreams": {"service-3": {"services": ["extra"]}}})");
      REQUIRE(system.PublishConfiguration() == 0);

      THEN("it is in force without a restart") {
        REQUIRE(Eventually(
            [&] {
              return Call(entry_a, http_verb::get, "/s/extra/x").status == 200;
            },
            std::chrono::seconds(10)));
      }
      AND_WHEN("the operator removes the file again") {
        system.WriteConfiguration("20-more.json", "");
        REQUIRE(system.PublishConfiguration() == 0);

        THEN("the previous configuration is in force") {
          REQUIRE(Eventually(
              [&] {
                return Call(entry_a, http_verb::get, "/s/extra/x").status ==
                       404;
              },
              std::chrono::seconds(10)));
        }
      }
    }
  }
}

}  // namespace anvilloom
