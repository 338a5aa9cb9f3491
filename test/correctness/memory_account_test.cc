// Guards against memory of requests that is never given back, large bodies that
// keep out small ones, and the wrong body being given up.

#include <catch2/catch.hpp>
#include <vector>

#include "wire/memory_account.h"
#include "wire/unfinished_bodies.h"

namespace anvilloom {

namespace {

constexpr std::size_t kMemory = 4'000'000;
constexpr std::size_t kRequests = kMemory / memory_account::kRequestDivisor;
constexpr std::size_t kSmall = memory_account::kSmallBodyBytes;

}  // namespace

SCENARIO("Request bodies share the memory of an instance", "[memory_account]") {
  memory_account account(kMemory);

  GIVEN("a share that holds less than what it is to shrink to") {
    request_share share(&account);
    REQUIRE(share.TryGrow(kSmall, false));
    share.Shrink(2 * kSmall);
    THEN("it holds what it has reserved, and gives back no more") {
      REQUIRE(share.bytes() == kSmall);
      share.Shrink(0);
      REQUIRE(account.requests().used() == 0);
    }
    THEN("another share may take its place") {
      request_share other(&account);
      REQUIRE(other.TryGrow(kSmall, false));
      other = std::move(share);
      REQUIRE(other.bytes() == kSmall);
      REQUIRE(account.requests().used() == kSmall);
    }
  }

  GIVEN("a body that holds more than all memory for requests") {
    request_share alone(&account);
    REQUIRE(alone.TryGrow(kSmall, false));

    THEN("it is admitted, since it is alone") {
      REQUIRE(alone.TryGrow(2 * kRequests, false));
      AND_THEN("no other is, until it ends") {
        request_share other(&account);
        REQUIRE_FALSE(other.TryGrow(1, true));
        REQUIRE(other.bytes() == 0);
        alone.Shrink(0);
        REQUIRE(other.TryGrow(1, true));
      }
    }
  }

  GIVEN("large bodies that take what they may") {
    std::vector<request_share> large;
    for (bool more = true; more;) {
      request_share next(&account);
      more = next.TryGrow(125'000, false);
      if (more) {
        large.push_back(std::move(next));
      }
    }
    REQUIRE(large.size() == kRequests / 4 * 3 / 125'000);

    THEN("a small body has room, and a large one has none") {
      request_share small(&account);
      REQUIRE(small.TryGrow(kSmall, true));
      REQUIRE_FALSE(small.TryGrow(kSmall + 1, false));
      REQUIRE(small.bytes() == kSmall);
    }
    THEN("both parts together take at most half of the memory") {
      REQUIRE(account.requests().limit() + 2 * account.answers().limit() <=
              kMemory / 2);
    }
    THEN("answers have their own memory") {
      answer_share answer(account.answers());
      REQUIRE(answer.Resize(kMemory / memory_account::kAnswerDivisor));
    }
    WHEN("they end, also those that were moved") {
      request_share moved(std::move(large.back()));
      large.clear();
      REQUIRE(account.requests().used() == 125'000);
      moved.Shrink(0);
      THEN("nothing is in use") {
        REQUIRE(account.requests().used() == 0);
      }
    }
    WHEN("a body waits") {
      int woken = 0;
      account.SetReleased([&] { ++woken; });
      large.pop_back();
      REQUIRE(woken == 0);
      account.AddWaiter();
      large.pop_back();
      THEN("it is told of each release") {
        REQUIRE(woken == 1);
        account.RemoveWaiter();
      }
    }
  }

  GIVEN("bodies that wait longer than they should") {
    const time_point now{duration(0)};
    REQUIRE(account.TryBeginGiveUp(false, now));

    THEN("one body at a time is given up") {
      REQUIRE_FALSE(account.TryBeginGiveUp(true, now));
      account.EndGiveUp(true);
      REQUIRE(account.given_up() == 1);
      AND_THEN("a small body has the next one given up at once") {
        REQUIRE(account.TryBeginGiveUp(true, now));
      }
      AND_THEN("a large body has it given up after the interval") {
        const duration interval = memory_account::kGiveUpInterval;
        REQUIRE_FALSE(account.TryBeginGiveUp(false, now));
        REQUIRE(account.TryBeginGiveUp(false, now + interval));
      }
    }
  }
}

SCENARIO("An unfinished body is chosen to be given up", "[memory_account]") {
  const auto at = [](std::int64_t since) {
    return time_point(duration(since));
  };

  GIVEN("clients with one body each") {
    const std::vector<body_progress> bodies = {
        {1, at(30), 10}, {2, at(10), 10}, {3, at(20), 500}};
    THEN("the oldest is chosen") {
      REQUIRE(ChooseGivenUp(bodies) == 1);
    }
  }
  GIVEN("a client with many bodies") {
    const std::vector<body_progress> bodies = {
        {1, at(10), 500}, {2, at(40), 10}, {2, at(30), 10}};
    THEN("its oldest is chosen, though another client's is older") {
      REQUIRE(ChooseGivenUp(bodies) == 2);
    }
  }
  GIVEN("bodies that hold no memory") {
    const std::vector<body_progress> bodies = {
        {1, at(10), 0}, {1, at(20), 0}, {2, at(30), 10}};
    THEN("none of them is chosen, nor counted") {
      REQUIRE(ChooseGivenUp(bodies) == 2);
      REQUIRE_FALSE(ChooseGivenUp(std::span(bodies).first(2)));
    }
  }
}

}  // namespace anvilloom
