// Guards against lost notices, and against a stand-in instance API whose list
// is more current or whose capacity is larger than the cloud's.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include "test/support/local_system.h"
#include "wire/http_instance_api.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

using boost::beast::http::verb;

// Runs a call of http_instance_api to completion.
template <typename Call>
auto RunCall(std::uint16_t port, Call call) {
  boost::asio::io_context context(1);
  http_instance_api api(context.get_executor(),
                        "127.0.0.1:" + std::to_string(port));
  auto result =
      boost::asio::co_spawn(context, call(api), boost::asio::use_future);
  context.run();
  return result.get();
}

deadline ShortDeadline() {
  return deadline::After(steady_source().Now(), std::chrono::seconds(2));
}

}  // namespace

SCENARIO(
    "The instance API lists instances, delivers notices and starts instances") {
  local_system system;
  const auto port = system.Start("instances", "standins/standin_instances",
                                 {"--list-lag-ms", "300"});
  const auto list = [&] {
    return *RunCall(
        port, [](http_instance_api& api) { return api.List(ShortDeadline()); });
  };

  GIVEN("an instance") {
    Call(port, verb::post, "/control/instances",
         R"({"name":"engine-1","failure_domain":"zone-a"})");

    THEN("the list shows it only after the list lag") {
      REQUIRE(list().empty());
      REQUIRE(Eventually([&] { return list().size() == 1; },
                         std::chrono::seconds(5)));
      REQUIRE(list().front().domain == "zone-a");
      REQUIRE(list().front().state == instance_state::kLive);
    }

    WHEN("a notice is given before a wait") {
      Call(port, verb::post, "/control/notices",
           R"({"instance":"engine-1","until_reclaim_ms":5000})");
      const auto first = RunCall(port, [](http_instance_api& api) {
        return api.AwaitNotices(0, ShortDeadline());
      });

      THEN("it is delivered once, with the time left") {
        REQUIRE(first->notices.size() == 1);
        REQUIRE(first->notices.front().instance == "engine-1");
        REQUIRE(first->notices.front().until_reclaim <=
                std::chrono::seconds(5));
        const auto none = RunCall(port, [&](http_instance_api& api) {
          return api.AwaitNotices(
              first->next, deadline::After(steady_source().Now(),
                                           std::chrono::milliseconds(50)));
        });
        REQUIRE(none->notices.empty());
        REQUIRE(none->next == first->next);
      }
    }
  }

  GIVEN("a cloud without capacity") {
    const auto start = [&] {
      return RunCall(port, [](http_instance_api& api) {
        return api.Start({"zone-a", "small", true}, ShortDeadline());
      });
    };
    REQUIRE(start().has_value());
    Call(port, verb::post, "/control/capacity", R"({"available":false})");

    THEN("an order fails with kNoCapacity") {
      const auto refused = start();
      REQUIRE(!refused);
      REQUIRE(refused.error() == instance_error::kNoCapacity);
    }
  }
}

}  // namespace anvilloom
