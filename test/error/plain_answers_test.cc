// Guards callers of plain services against answers that were cut on the way
// and look whole, and against bytes of one answer that end up in the next.

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "test/support/local_system.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::string_view kBody = R"({"amount":100})";

std::string OutcomeOf(const caller_answer& answer) {
  return std::string(
      boost::json::parse(answer.body).at("error").at("outcome").as_string());
}

bool EchoesPath(const caller_answer& answer, std::string_view path) {
  return answer.status == 200 &&
         boost::json::parse(answer.body).at("path").as_string() == path;
}

// Runs at the service by idempotency key; lookups have the empty key.
std::int64_t Runs(std::uint16_t service, std::string_view key) {
  const auto runs =
      boost::json::parse(Call(service, http_verb::get, "/runs").body);
  const auto* count = runs.as_object().if_contains(key);
  return count == nullptr ? 0 : count->to_number<std::int64_t>();
}

}  // namespace

SCENARIO("A plain upstream spoils its answers", "[plain_answers]") {
  GIVEN("an entry instance with one plain service, and a fault") {
    local_system system;
    system.Start("objects", "standins/standin_objects");
    const auto service = system.Start("service", "standins/standin_service");
    // One thread, so that all calls share their connections to the service.
    const auto entry =
        system.StartEntry("entry-a", "zone-a", R"(,"threads":1)");
    system.WriteConfiguration("10-all.json", TestConfiguration({}, {service}));
    REQUIRE(system.PublishConfiguration() == 0);
    REQUIRE(system.AwaitReady("entry-a"));
    const auto [fault, rule] = GENERATE(table<std::string, std::string>({
        {"no byte of the body", R"("action":"truncate","after":0)"},
        {"a short body", R"("action":"truncate","after":10)"},
        {"closed before the header ends",
         R"("action":"cut_header","after":20)"},
        {"closed within the status line",
         R"("action":"cut_header","after":10)"},
        {"closed at the end of the status line",
         R"("action":"cut_header","after":17)"},
        {"length too small", R"("action":"wrong_length","after":10)"},
        {"length zero", R"("action":"wrong_length","after":0)"},
        {"length too large", R"("action":"wrong_length","after":1000)"},
        {"no length, and a short body", R"("action":"no_length","after":10)"},
        {"answer after the deadline", R"("action":"delay","delay_ms":1500)"},
    }));
    INFO(fault);
    // The connection is one that was used before when the fault strikes.
    REQUIRE(
        EchoesPath(Call(entry, http_verb::get, "/s/lookup/before"), "/before"));
    // One deposit takes one send; a lookup may be sent again.
    REQUIRE(Call(service, http_verb::post, "/faults",
                 R"({"path":"/spoiled","count":9,)" + rule + "}")
                .status == 200);

    WHEN("a lookup is answered so") {
      const caller_answer answer =
          Call(entry, http_verb::get, "/s/lookup/spoiled", {},
               {{"X-Deadline-Ms", "1000"}});

      THEN("its caller is not given an answer, and the next one gets its own") {
        REQUIRE(answer.status >= 500);
        REQUIRE(OutcomeOf(answer) == "unknown");
        // One for the call before; with one upstream, nothing is sent again.
        REQUIRE(Runs(service, "") <= 2);
        for (int i = 0; i < 3; ++i) {
          REQUIRE(EchoesPath(Call(entry, http_verb::get, "/s/lookup/after"),
                             "/after"));
        }
      }
    }
    WHEN("a deposit is answered so") {
      const auto deposit = [&] {
        return Call(entry, http_verb::post, "/s/deposit/spoiled", kBody,
                    {{"Idempotency-Key", "key-1"}, {"X-Deadline-Ms", "1000"}});
      };
      const caller_answer answer = deposit();
      const caller_answer again = deposit();

      THEN("nobody gets it as the answer, and it ran once") {
        for (const caller_answer& told : {answer, again}) {
          REQUIRE(told.status >= 500);
          REQUIRE(OutcomeOf(told) == "unknown");
        }
        REQUIRE(Eventually([&] { return Runs(service, "key-1") == 1; },
                           std::chrono::seconds(5)));
      }
    }
  }
}

}  // namespace anvilloom
