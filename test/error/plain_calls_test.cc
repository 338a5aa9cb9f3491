// Guards against a false "not run" for repeatable calls, and against retries
// that multiply the load when every upstream fails.

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include "test/support/local_system.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::int64_t kCalls = 60;
constexpr std::string_view kDropAfterRun =
    R"({"action":"drop_after","path":"/x","count":9999})";

std::int64_t Runs(std::uint16_t port) {
  const caller_answer answer = Call(port, http_verb::get, "/runs");
  const auto counts = boost::json::parse(answer.body).as_object();
  std::int64_t sum = 0;
  for (const auto& [key, count] : counts) {
    sum += count.to_number<std::int64_t>();
  }
  return sum;
}

bool SaysNotRun(const caller_answer& answer) {
  return answer.body.find(R"("outcome":"not_run")") != std::string::npos;
}

}  // namespace

SCENARIO("Lookups fail at every upstream", "[plain_calls]") {
  GIVEN("two upstreams of a plain service behind an entry instance") {
    local_system system;
    system.Start("objects", "standins/standin_objects");
    const auto first = system.Start("s1", "standins/standin_service");
    const auto second = system.Start("s2", "standins/standin_service");
    const auto entry = system.StartEntry("entry-a", "zone-a");
    system.WriteConfiguration("10-all.json",
                              TestConfiguration({}, {first, second}));
    REQUIRE(system.PublishConfiguration() == 0);
    REQUIRE(system.AwaitReady("entry-a"));

    WHEN("both run their calls and drop the answers") {
      Call(first, http_verb::post, "/faults", kDropAfterRun);
      Call(second, http_verb::post, "/faults", kDropAfterRun);
      int not_run_answers = 0;
      for (int i = 0; i < kCalls; ++i) {
        const caller_answer answer = Call(entry, http_verb::get, "/s/lookup/x");
        REQUIRE(answer.status != 200);
        not_run_answers += SaysNotRun(answer) ? 1 : 0;
      }

      THEN("no answer says \"not run\", and few calls are retried") {
        REQUIRE(not_run_answers == 0);
        const std::int64_t runs = Runs(first) + Runs(second);
        REQUIRE(runs >= kCalls);
        REQUIRE(runs * 10 < kCalls * 11);
      }
    }

    WHEN("one drops its answers and the other one is killed") {
      Call(first, http_verb::post, "/faults", kDropAfterRun);
      system.process("s2").Kill();

      THEN("only calls that did not run are answered with \"not run\"") {
        for (int i = 0; i < kCalls; ++i) {
          const std::int64_t before = Runs(first);
          const caller_answer answer =
              Call(entry, http_verb::get, "/s/lookup/x");
          if (Runs(first) > before) {
            REQUIRE_FALSE(SaysNotRun(answer));
          }
        }
      }
    }
  }
}

}  // namespace anvilloom
