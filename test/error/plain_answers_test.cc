// Guards callers of plain services against truncated answers that look
// complete, and against bytes of one answer that are taken as part of the next.

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

// Returns the number of runs at the service for an idempotency key; lookups
// have the empty key.
std::int64_t Runs(std::uint16_t service, std::string_view key) {
  const auto runs =
      boost::json::parse(Call(service, http_verb::get, "/runs").body);
  const auto* count = runs.as_object().if_contains(key);
  return count == nullptr ? 0 : count->to_number<std::int64_t>();
}

}  // namespace

SCENARIO("A plain upstream corrupts its answers", "[plain_answers]") {
  GIVEN("an entry instance with one plain service, and a fault") {
    local_system system;
    system.Start("objects", "standins/standin_objects");
    const auto service = system.Start("service", "standins/standin_service");
    // With one thread, all calls share their connections to the service.
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
    // Opens the connection, so that the fault occurs on a reused one.
    REQUIRE(
        EchoesPath(Call(entry, http_verb::get, "/s/lookup/before"), "/before"));
    // The faults outlast the retries of a lookup; a deposit is sent once.
    REQUIRE(Call(service, http_verb::post, "/faults",
                 R"({"path":"/spoiled","count":9,)" + rule + "}")
                .status == 200);

    WHEN("a lookup gets such an answer") {
      const caller_answer answer =
          Call(entry, http_verb::get, "/s/lookup/spoiled", {},
               {{"X-Deadline-Ms", "1000"}});

      THEN(
          "its caller gets an error, and the next caller gets its own answer") {
        REQUIRE(answer.status >= 500);
        REQUIRE(OutcomeOf(answer) == "unknown");
        // One run is that of the earlier call; with one upstream there is no
        // retry.
        REQUIRE(Runs(service, "") <= 2);
        for (int i = 0; i < 3; ++i) {
          REQUIRE(EchoesPath(Call(entry, http_verb::get, "/s/lookup/after"),
                             "/after"));
        }
      }
    }
    WHEN("a deposit gets such an answer") {
      const auto deposit = [&] {
        return Call(entry, http_verb::post, "/s/deposit/spoiled", kBody,
                    {{"Idempotency-Key", "key-1"}, {"X-Deadline-Ms", "1000"}});
      };
      const caller_answer answer = deposit();
      const caller_answer again = deposit();

      THEN("both callers get an error, and the deposit ran once") {
        for (const caller_answer& response : {answer, again}) {
          REQUIRE(response.status >= 500);
          REQUIRE(OutcomeOf(response) == "unknown");
        }
        REQUIRE(Eventually([&] { return Runs(service, "key-1") == 1; },
                           std::chrono::seconds(5)));
      }
    }
  }
}

}  // namespace anvilloom
