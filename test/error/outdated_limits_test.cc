// Guards against proper calls that are ended with 413, 431 or 400 because their
// size is judged by the limits of an outdated manifest.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "test/support/platform_system.h"
#include "test/support/raw_connection.h"

namespace anvilloom {

namespace {

using boost::beast::http::verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time from the acknowledgement of a manifest until it must be in force.
constexpr milliseconds kApplyTime{2000};
constexpr duration kReadTimeout = seconds(20);

constexpr call_size_limits kLargerSizes{.header_bytes = 262'144,
                                        .body_bytes = 1'000'000};
// Above the limits of the first manifest and below the larger ones.
constexpr std::size_t kLargeBody = 200'000;
// Also larger than the space for a header and a part of a body.
constexpr int kLargeFields = 4;
constexpr std::size_t kLargeField = 40'000;

std::string Head(std::size_t body_bytes,
                 std::string_view more = {},
                 std::string_view key = "key-1") {
  return "POST /safe/1 HTTP/1.1\r\nHost: a.example\r\n"
         "X-Request-Id: request\r\nX-Deadline-Ms: 6000\r\n"
         "Authorization: Token " +
         std::string(key) +
         "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n" +
         std::string(more) + "\r\n";
}

std::string CallWithLargeBody() {
  return Head(kLargeBody) + std::string(kLargeBody, 'x');
}

std::string CallWithLargeHeader(std::string_view key = "key-1") {
  std::string fields;
  for (int i = 0; i < kLargeFields; ++i) {
    fields += "X-Large-" + std::to_string(i) + ": " +
              std::string(kLargeField, 'x') + "\r\n";
  }
  return Head(0, fields, key);
}

unsigned StatusOf(std::uint16_t port, std::string_view call) {
  raw_connection connection(port);
  connection.Send(call);
  return FirstStatus(connection.ReadUntil("\r\n\r\n", kReadTimeout));
}

}  // namespace

// Guards against a final answer by limits of which nobody knows whether they
// are still in force.
SCENARIO("A large call arrives while the manifest is in doubt",
         "[outdated_limits]") {
  GIVEN("a gateway whose reads of the store get no answer") {
    platform_system system;
    system.PutManifest();
    const std::uint16_t port = system.StartGateway("gateway");
    system.StartUpstream("desk-1", "desk");
    REQUIRE(system.AwaitReady("gateway"));
    REQUIRE(system.AwaitUpstreams("gateway", 1));
    REQUIRE(StatusOf(port, CallWithLargeBody()) == 413);
    REQUIRE(StatusOf(port, CallWithLargeHeader()) == 431);
    system.AddFault(
        "platform",
        R"({"action":"hang","method":"GET","path":"/anvilloom/objects",)"
        R"("delay_ms":60000,"count":1000000})");
    // Ends the watches that had been waiting before.
    system.PutManifest();
    std::this_thread::sleep_for(milliseconds(300));

    WHEN("a manifest with larger limits is written") {
      system.PutManifest({"key-1"}, 0, kLargerSizes);
      std::this_thread::sleep_for(kApplyTime);

      THEN("the calls that it allows are refused as not run") {
        REQUIRE(StatusOf(port, CallWithLargeBody()) == 503);
        REQUIRE(StatusOf(port, CallWithLargeHeader()) == 503);
      }

      AND_WHEN("the store answers again") {
        Call(system.port("platform"), verb::delete_, "/faults");

        THEN("they are served, and larger ones are denied") {
          REQUIRE(Eventually(
              [&] { return StatusOf(port, CallWithLargeBody()) == 200; },
              seconds(10)));
          REQUIRE(StatusOf(port, Head(2'000'000)) == 413);
        }
      }
    }
  }
}

// Guards against a connection that keeps the limits of the time at which it was
// opened.
SCENARIO("A manifest with larger limits takes effect on an open connection",
         "[outdated_limits]") {
  GIVEN("a connection that was opened before") {
    platform_system system;
    system.PutManifest();
    const std::uint16_t port = system.StartGateway("gateway");
    system.StartUpstream("desk-1", "desk");
    REQUIRE(system.AwaitReady("gateway"));
    REQUIRE(system.AwaitUpstreams("gateway", 1));
    raw_connection connection(port);
    connection.Send(Head(0));
    REQUIRE(FirstStatus(connection.ReadUntil("}", seconds(2))) == 200);

    WHEN("the manifest is in force and a large header arrives on it") {
      system.PutManifest({"key-1"}, 0, kLargerSizes);
      std::this_thread::sleep_for(kApplyTime);
      REQUIRE(StatusOf(port, CallWithLargeBody()) == 200);
      // Ends at the gateway, since the stand-in takes no header of this size.
      connection.Send(CallWithLargeHeader("unknown"));

      THEN("the header is read") {
        REQUIRE(FirstStatus(connection.ReadUntil("\r\n\r\n", kReadTimeout)) ==
                401);
      }
    }
  }
}

}  // namespace anvilloom
