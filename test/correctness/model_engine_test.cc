// Guards against a stand-in engine that is more lenient than a real one and
// would hide bugs in the system under test.

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "test/support/local_system.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

using boost::beast::http::verb;

std::string EngineBody(std::string_view id,
                       std::string_view prompt,
                       std::uint32_t tokens,
                       std::string_view more = "") {
  return R"({"model":"m","request_id":")" + std::string(id) +
         R"(","stream":true,"max_tokens":)" + std::to_string(tokens) +
         std::string(more) + R"(,"messages":[{"role":"user","content":")" +
         std::string(prompt) + R"("}]})";
}

caller_answer SendCompletion(std::uint16_t engine, const std::string& body) {
  return Call(engine, verb::post, "/v1/chat/completions", body);
}

std::uint64_t PrefilledTokens(const caller_answer& answer) {
  const std::string_view key = R"("prefilled_tokens":)";
  const std::size_t at = answer.body.find(key);
  REQUIRE(at != std::string::npos);
  return std::stoull(answer.body.substr(at + key.size()));
}

}  // namespace

SCENARIO("The stand-in engine behaves as the platform specifies") {
  local_system system;

  GIVEN("an engine with a small cache") {
    const auto engine =
        system.Start("engine", "standins/standin_engine",
                     {"--token-interval-us", "2000", "--cache-tokens", "256",
                      "--checks-fencing"});
    const std::string prompt(400, 'p');

    WHEN("the same prompt is sent twice") {
      const auto first =
          PrefilledTokens(SendCompletion(engine, EngineBody("a", prompt, 2)));
      const auto second =
          PrefilledTokens(SendCompletion(engine, EngineBody("b", prompt, 2)));

      THEN(
          "the second one computes only the tokens outside complete cached "
          "blocks") {
        REQUIRE(first > 100);
        REQUIRE(second < 16);
      }

      AND_WHEN("other prompts have evicted it from the cache") {
        for (const char c : {'q', 'r', 's'}) {
          SendCompletion(engine, EngineBody("c", std::string(400, c), 2));
        }

        THEN("the prompt is computed again") {
          REQUIRE(PrefilledTokens(SendCompletion(
                      engine, EngineBody("d", prompt, 2))) > 100);
        }
      }

      AND_WHEN("the engine's model version changes") {
        Call(engine, verb::post, "/version", R"({"version":"v2"})");
        const auto answer = SendCompletion(engine, EngineBody("d", prompt, 2));

        THEN("its cache is empty and answers carry the new version") {
          REQUIRE(PrefilledTokens(answer) > 100);
          REQUIRE(answer.body.find(R"("system_fingerprint":"v2")") !=
                  std::string::npos);
        }
      }
    }

    WHEN("a stream is resumed with a text that it would not have generated") {
      const auto answer = SendCompletion(
          engine, EngineBody("a", prompt, 4,
                             R"(,"resume_tokens":1,"resume_text":"wrong ")"));

      THEN("it is refused") {
        REQUIRE(answer.status == 409);
      }
    }

    WHEN("a cache of another version is imported") {
      const auto answer =
          Call(engine, verb::post, "/kv/import",
               R"({"handle":"h","version":"v0","tokens":5,"bytes":5})");

      THEN("it is refused") {
        REQUIRE(answer.status == 409);
      }
    }

    WHEN("an order has an older fencing number") {
      REQUIRE(Call(engine, verb::post, "/orders", R"({"fencing":5})").status ==
              200);

      THEN("it is refused, and one with the same number is not") {
        REQUIRE(
            Call(engine, verb::post, "/orders", R"({"fencing":4})").status ==
            409);
        REQUIRE(
            Call(engine, verb::post, "/orders", R"({"fencing":5})").status ==
            200);
      }
    }

    WHEN("a running request is cancelled") {
      auto answer = std::async(std::launch::async, [&] {
        return SendCompletion(engine, EngineBody("long", prompt, 5000));
      });
      REQUIRE(Eventually(
          [&] {
            return Call(engine, verb::post, "/cancel",
                        R"({"request_id":"long"})")
                       .status == 200;
          },
          std::chrono::seconds(5)));

      THEN("it ends without an end marker") {
        REQUIRE(answer.get().body.find("[DONE]") == std::string::npos);
      }
    }
  }

  GIVEN("an engine with one slot and a delayed load report") {
    const auto engine = system.Start("engine", "standins/standin_engine",
                                     {"--token-interval-us", "5000", "--slots",
                                      "1", "--load-lag-us", "400000"});
    const auto run = [&](const std::string& id,
                         const std::string& priority_class) {
      return std::async(std::launch::async, [=] {
        SendCompletion(
            engine,
            EngineBody(id, id, 40, R"(,"priority":")" + priority_class + '"'));
        return std::chrono::steady_clock::now();
      });
    };

    WHEN("a batch request is queued before an interactive one") {
      auto first = run("first", "normal");
      std::this_thread::sleep_for(std::chrono::milliseconds(60));
      auto batch = run("second", "batch");
      std::this_thread::sleep_for(std::chrono::milliseconds(60));
      const caller_answer early_load = Call(engine, verb::get, "/load");
      auto interactive = run("third", "interactive");

      THEN(
          "the interactive one runs first, and the early load report shows no "
          "running request") {
        REQUIRE(interactive.get() < batch.get());
        REQUIRE(early_load.body.find(R"("running":0)") != std::string::npos);
      }
    }
  }
}

}  // namespace anvilloom
