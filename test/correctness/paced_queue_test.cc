// Guards against bursts that overflow the buffers of a slow link, which lost
// the last messages of every burst, including those sent again.

#include "instances/paced_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace anvilloom {

namespace {

constexpr time_point kStart{std::chrono::seconds(1000)};

}  // namespace

SCENARIO("Many messages are sent in bursts", "[paced_queue]") {
  constexpr std::size_t kRecipients = 71;
  paced_queue queue;

  GIVEN("27 changes in three datagrams for each of 71 instances") {
    for (std::size_t part = 0; part < 3; ++part) {
      const auto content = std::make_shared<const std::string>(850, 'x');
      for (std::size_t i = 0; i < kRecipients; ++i) {
        queue.Push(std::to_string(part) + "/" + std::to_string(i), content,
                   kStart);
      }
    }

    WHEN("they are sent") {
      std::set<std::string> sent;
      std::size_t largest = 0;
      int bursts = 0;
      while (!queue.empty()) {
        std::size_t bytes = 0;
        queue.TakeBurst(kStart,
                        [&](std::string_view address, std::string_view text) {
                          sent.insert(std::string(address));
                          bytes += text.size();
                        });
        largest = std::max(largest, bytes);
        ++bursts;
      }

      THEN("no burst exceeds the buffers, and all messages are sent") {
        REQUIRE(largest <= paced_queue::kBurstBytes + 850);
        REQUIRE(sent.size() == 3 * kRecipients);
        REQUIRE(queue.dropped() == 0);
      }

      THEN("the last one is sent within 250 ms") {
        constexpr int kBurstPauseMs = 20;
        REQUIRE(bursts * kBurstPauseMs <= 250);
      }
    }
  }

  GIVEN("more messages than could be sent in time") {
    const auto content = std::make_shared<const std::string>("x");
    for (int i = 0; i < 10'000; ++i) {
      queue.Push("a", content, kStart);
    }

    THEN("the surplus is dropped and counted") {
      REQUIRE(queue.dropped() == 10'000 - 8192);
    }
  }

  GIVEN("a message that waits for half a second") {
    constexpr duration kWait = std::chrono::milliseconds(500);
    queue.Push("a", std::make_shared<const std::string>("x"), kStart);
    queue.TakeBurst(kStart + kWait, [](std::string_view, std::string_view) {});

    THEN("its wait is reported once") {
      REQUIRE(queue.TakeLongestWait() == kWait);
      REQUIRE(queue.TakeLongestWait() == duration::zero());
    }
  }
}

}  // namespace anvilloom
