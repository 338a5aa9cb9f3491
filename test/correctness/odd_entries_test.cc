// Guards against one odd entry of another writer that makes a list of the store
// unreadable, ends the process that reads it, or is taken for an upstream.

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "entry/supervised_task.h"
#include "platform/platform.h"
#include "wire/http_server.h"
#include "wire/io_pool.h"
#include "wire/json_text.h"
#include "wire/steady_clock.h"

namespace anvilloom::platform {

namespace {

constexpr std::string_view kSound =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready",)"
    R"("batchSlots":8,"born":1700000000000})";

// A manifest whose numbers stand as "#".
constexpr std::string_view kManifestOfOne =
    R"({"version":3,"routes":[{"name":"r","hostname":"h","pathPrefix":"/",
    "routeType":"streaming","service":"s","timeoutMs":#,"targetLatencyMs":#,
    "maxAttempts":#,"priority":#}],"services":[{"name":"s","engine":{
    "batchSlots":#,"kvCapacity":#,"linkMbps":#},"autoscaling":{
    "minReplicas":#,"maxReplicas":#,"bootTimeS":#,"zonePrices":{"a":1}}}],
    "tenants":[{"name":"t","priority":#,"ratePerS":#}]})";

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Specs that no engine writes.
std::vector<std::string> OddSpecs() {
  const auto with = [](std::string_view field, std::string_view value) {
    std::string spec(kSound);
    const std::size_t at = spec.find("\"" + std::string(field) + "\":");
    const std::size_t from = at + field.size() + 3;
    spec.replace(from, spec.find_first_of(",}", from) - from, value);
    return spec;
  };
  std::string deep_extra(kSound);
  deep_extra.insert(1, "\"notes\":" + Nested(50'000) + ",");
  return {
      Nested(100'000),
      deep_extra,
      std::string(3, '{') + "}}}",
      "null",
      "\"text\"",
      "17",
      "1e99999999999",
      "\"\xff\xfe\"",
      "\"\\ud800\"",
      with("batchSlots", "1e300"),
      with("batchSlots", "-1"),
      with("batchSlots", "\"8\""),
      with("batchSlots", "1e99999999999"),
      with("born", "-5"),
      with("born", "1e300"),
      with("born", "null"),
      with("address", "\"10.0.0.1:65536\""),
      with("address", "\"10.0.0.1:0\""),
      with("address", "\"10.0.0.1:-1\""),
      with("address", "\"10.0.0.1:99999999999999999999\""),
      with("address", "\"10.0.0.1\""),
      with("address", "\"" + std::string(1'000'000, '1') + ":80\""),
      with("address", "80"),
      with("service", "\"" + std::string(1'000'000, 's') + "\""),
      with("service", "7"),
      with("state", "\"asleep\""),
      with("zone", "\"" + std::string(100'000, 'z') + "\""),
  };
}

std::string Object(std::string_view name,
                   std::uint64_t revision,
                   std::string_view spec) {
  return R"({"metadata":{"name":")" + std::string(name) + R"(","revision":)" +
         std::to_string(revision) + R"(},"spec":)" + std::string(spec) +
         R"(,"status":null})";
}

// Answers each call with one body.
struct fixed_store {
  std::string body;

  awaitable<void> Handle(http_exchange& exchange, std::size_t /*thread*/) {
    co_await exchange.Respond(http_status::ok, "application/json", body);
  }
};

// Runs a coroutine that takes a store client, against a store that answers with
// `body`.
template <typename Result, typename Call>
Result CallStore(std::string body, Call call) {
  fixed_store handler{std::move(body)};
  io_pool pool(1);
  http_server server(pool, "127.0.0.1:0", {}, handler);
  pool.Start();
  boost::asio::io_context context;
  object_store_client store(context.get_executor(),
                            "127.0.0.1:" + std::to_string(server.port()));
  Result result;
  boost::asio::co_spawn(
      context, [&]() -> awaitable<void> { result = co_await call(store); },
      [](const std::exception_ptr& error) { REQUIRE(!error); });
  context.run();
  server.Close();
  pool.Stop();
  return result;
}

deadline Soon() {
  return deadline::After(steady_source().Now(), std::chrono::seconds(20));
}

}  // namespace

SCENARIO("An odd entry names no upstream", "[odd_entries]") {
  REQUIRE(DecodeUpstream("e1", kSound));
  for (const std::string& spec : OddSpecs()) {
    CAPTURE(spec.substr(0, 120));
    CHECK(!DecodeUpstream("e1", spec));
  }
  REQUIRE(!DecodeUpstream(std::string(1'000'000, 'e'), kSound));
}

SCENARIO("The sound entries of a list hold beside an odd one",
         "[odd_entries]") {
  for (const std::string& spec : OddSpecs()) {
    CAPTURE(spec.substr(0, 120));
    const std::string page = R"({"entries":[)" + Object("e1", 5, kSound) +
                             ", " + Object("odd", 6, spec) + " ,\n" +
                             Object("e3", 7, kSound) +
                             R"(],"truncated":false,"at":9})";
    using list_result = std::optional<object_list>;
    const auto listed = CallStore<list_result>(
        page, [](object_store_client& store) -> awaitable<list_result> {
          const auto list = co_await store.List("servers", Soon());
          co_return list ? list_result(*list) : std::nullopt;
        });
    REQUIRE(listed);
    REQUIRE(listed->version == 9);
    int usable = 0;
    for (const stored_object& each : listed->objects) {
      usable += DecodeUpstream(each.name, each.value) ? 1 : 0;
    }
    REQUIRE(usable == 2);
  }
}

SCENARIO("A watch goes on after a change to an odd entry", "[odd_entries]") {
  for (const std::string& spec : OddSpecs()) {
    CAPTURE(spec.substr(0, 120));
    const std::string body = R"({"events":[{"deleted":false,"object":)" +
                             Object("odd", 10, spec) +
                             R"(},{"deleted":true,"object":)" +
                             Object("e1", 11, kSound) + R"(}],"at":11})";
    struct watched {
      std::uint64_t version = 0;
      std::vector<object_event> events;
    };
    const auto seen = CallStore<watched>(
        body, [](object_store_client& store) -> awaitable<watched> {
          watched result;
          const auto version = co_await store.Watch(
              "servers", 9,
              [&](const object_event& event) {
                result.events.push_back(event);
                return true;
              },
              Soon());
          result.version = version ? *version : 0;
          co_return result;
        });
    REQUIRE(seen.version == 11);
    // The odd one is reported, so that a sound entry before it no longer holds.
    REQUIRE(seen.events.size() == 2);
    REQUIRE(seen.events[0].object.name == "odd");
    REQUIRE(!DecodeUpstream("odd", seen.events[0].object.value));
    REQUIRE(seen.events[1].kind == object_event_kind::kDelete);
  }
}

SCENARIO("JSON is cut into elements without parsing them", "[odd_entries]") {
  GIVEN("sound text") {
    const auto members =
        SplitObject(R"( {"a" : [1, {"b":"]}\""}] , "c":"x,y","a":2} )");
    REQUIRE(members);
    THEN("each member is found, the last one of a key first") {
      REQUIRE(members->size() == 3);
      REQUIRE((*members)[0].value == R"([1, {"b":"]}\""}])");
      REQUIRE(FindValue(*members, "c") == R"("x,y")");
      REQUIRE(FindValue(*members, "a") == "2");
      REQUIRE(FindValue(*members, "none").empty());
      REQUIRE(SplitArray(" [ ] ")->empty());
      REQUIRE(SplitObject("{}")->empty());
      REQUIRE(SplitArray((*members)[0].value)->size() == 2);
    }
  }
  GIVEN("text that is cut off or malformed") {
    for (const char* text :
         {"", " ", "[", "[1", "[1,", "[1,]", "[,1]", "[1]2", "[\"a]", "{",
          "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{\"a\":1", "null",
          "{\"a\":[1}", "]", "}"}) {
      CAPTURE(text);
      REQUIRE(!SplitArray(text));
      REQUIRE(!SplitObject(text));
    }
  }
}

SCENARIO("Numbers of a manifest that are out of range count as missing",
         "[odd_entries]") {
  for (const char* odd : {"1e300", "-1", "1e20", "\"7\"", "null", "[7]"}) {
    std::string text(kManifestOfOne);
    for (std::size_t at = text.find('#'); at != std::string::npos;
         at = text.find('#')) {
      text.replace(at, 1, odd);
    }
    CAPTURE(text);
    const auto decoded = DecodeManifest(text);
    REQUIRE(decoded);
    const manifest_route& route = decoded->routes.at(0);
    REQUIRE(route.latency_target == std::chrono::seconds(1));
    REQUIRE(route.answer_limit == std::chrono::seconds(60));
    REQUIRE(route.attempts == 1);
    REQUIRE(route.priority == 0);
    REQUIRE(decoded->services.at(0).slots == 0);
    REQUIRE(decoded->services.at(0).transfer_us_per_token == 0);
    REQUIRE(decoded->services.at(0).scaling->boot_time == duration(0));
    REQUIRE(!decoded->workspaces.at(0).priority);
  }
  GIVEN("times of zero") {
    const auto decoded = DecodeManifest(
        R"({"version":3,"routes":[{"name":"r","pathPrefix":"/","timeoutMs":0,
        "targetLatencyMs":0,"service":"s"}],"services":[]})");
    THEN("a default replaces them, so that calls are not refused at once") {
      REQUIRE(decoded->routes.at(0).latency_target == std::chrono::seconds(1));
      REQUIRE(decoded->routes.at(0).answer_limit == std::chrono::seconds(60));
    }
  }
}

SCENARIO("An unexpected error ends neither the process nor its task",
         "[odd_entries]") {
  boost::asio::io_context context;
  int runs = 0;
  bool ended = false;
  boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        co_await RunSupervised(
            "test",
            [&]() -> awaitable<void> {
              if (++runs < 3) {
                throw std::length_error("an odd entry");
              }
              co_return;
            },
            std::chrono::milliseconds(1));
        ended = true;
      },
      boost::asio::detached);
  context.run();
  REQUIRE(runs == 3);
  REQUIRE(ended);
}

}  // namespace anvilloom::platform
