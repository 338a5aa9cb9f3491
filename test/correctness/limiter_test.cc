// Guards against exceeding workspace limits while entry instances join and
// leave, and against tokens that are charged twice or not at all.

#include "contracts/limiter.h"

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "common/random.h"

namespace anvilloom {

namespace {

constexpr time_point kStart{std::chrono::seconds(1000)};

workspace Limited(std::uint32_t requests, std::uint32_t tokens) {
  workspace customer;
  customer.requests_per_second = requests;
  customer.tokens_per_second = tokens;
  return customer;
}

// The limiter state of one entry instance.
struct limit_node {
  limiter limits;
  limit_share share;
  // Delay until the instance learns of a membership change.
  duration lag{0};
};

}  // namespace

SCENARIO("The share of a limit follows the members with a hold-down",
         "[limiter]") {
  limit_share share(std::chrono::seconds(5));

  GIVEN("a share among four members") {
    share.Update(4, kStart);
    REQUIRE(share.divisor() == 4);

    WHEN("a fifth joins") {
      share.Update(5, kStart);

      THEN("the share shrinks at once") {
        REQUIRE(share.divisor() == 5);
      }
    }

    WHEN("one leaves") {
      share.Update(3, kStart);

      THEN("the share grows only after the hold-down") {
        REQUIRE(share.divisor() == 4);
        share.Update(3, kStart + std::chrono::seconds(4));
        REQUIRE(share.divisor() == 4);
        share.Update(3, kStart + std::chrono::seconds(5));
        REQUIRE(share.divisor() == 3);
      }
      AND_WHEN("it comes back in the meantime") {
        share.Update(4, kStart + std::chrono::seconds(4));
        share.Update(3, kStart + std::chrono::seconds(6));

        THEN("the hold-down begins again") {
          REQUIRE(share.divisor() == 4);
        }
      }
    }

    WHEN("membership reports no member at all") {
      share.Update(0, kStart);
      share.Update(0, kStart + std::chrono::seconds(5));

      THEN("this entry instance still counts itself") {
        REQUIRE(share.divisor() == 1);
      }
    }
  }

  GIVEN("an entry instance that joins others") {
    share.Join(kStart);
    limiter limits;

    THEN("it grants limited requests only after the hold-down") {
      const auto early = limits.Reserve(Limited(100, 0), share, 10, kStart);
      REQUIRE(early.refused);
      REQUIRE(early.refused->code == refusal_code::kWorkspaceLimit);
      REQUIRE(early.refused->retry_at ==
              deadline::After(kStart, std::chrono::seconds(5)));
      REQUIRE_FALSE(limits
                        .Reserve(Limited(100, 0), share, 10,
                                 kStart + std::chrono::seconds(5))
                        .refused);
    }
    THEN("it grants requests of workspaces without a limit at once") {
      REQUIRE_FALSE(limits.Reserve(Limited(0, 0), share, 10, kStart).refused);
    }
  }
}

SCENARIO("Tokens are reserved by estimate and settled with the actual count",
         "[limiter]") {
  const limit_share share;
  const workspace customer = Limited(0, 1000);
  limiter limits;

  GIVEN("a reservation of as many tokens as accrue in a second") {
    const auto grant = limits.Reserve(customer, share, 1000, kStart);
    REQUIRE_FALSE(grant.refused);
    const auto next = limits.Reserve(customer, share, 1000, kStart);

    THEN("the next one is refused until the deficit is paid off") {
      REQUIRE(next.refused);
      REQUIRE(next.refused->ran == outcome::kNotRun);
      // The burst covers 200 of the 1,000 tokens; 800 accrue in 800 ms.
      REQUIRE(next.refused->retry_at ==
              deadline::After(kStart, std::chrono::microseconds(800'001)));
    }
    WHEN("only a tenth was used") {
      limits.Settle(grant, 100);

      THEN("the difference is available to other requests") {
        REQUIRE_FALSE(limits
                          .Reserve(customer, share, 1000,
                                   kStart + std::chrono::milliseconds(100))
                          .refused);
      }
    }
    WHEN("more was used than reserved") {
      limits.Settle(grant, 2000);

      THEN("the excess is paid off too") {
        REQUIRE(limits
                    .Reserve(customer, share, 1000,
                             kStart + std::chrono::milliseconds(1800))
                    .refused);
        REQUIRE_FALSE(limits
                          .Reserve(customer, share, 1000,
                                   kStart + std::chrono::milliseconds(1801))
                          .refused);
      }
    }
    WHEN("a refused reservation is settled by mistake") {
      limits.Settle(next, 0);

      THEN("nothing is given back") {
        REQUIRE(limits
                    .Reserve(customer, share, 1000,
                             kStart + std::chrono::milliseconds(800))
                    .refused);
      }
    }
  }

  GIVEN("a request limit that passes and a token limit that refuses") {
    const workspace both = Limited(5, 10);
    REQUIRE_FALSE(limits.Reserve(both, share, 10, kStart).refused);
    const time_point later = kStart + std::chrono::milliseconds(200);
    REQUIRE(limits.Reserve(both, share, 10, later).refused);

    THEN("the refused call is not charged to the request limit") {
      REQUIRE_FALSE(limits.Reserve(Limited(5, 0), share, 0, later).refused);
    }
  }
}

SCENARIO("Limits hold while entry instances fail and join", "[limiter]") {
  const std::uint32_t seed = GENERATE(range(1U, 11U));

  GIVEN("seven entry instances under four times the limit, seed " +
        std::to_string(seed)) {
    split_mix random(seed);
    constexpr std::uint32_t kLimit = 700;
    constexpr auto kTick = std::chrono::milliseconds(1);
    const workspace customer = Limited(kLimit, 0);
    std::vector<std::unique_ptr<limit_node>> nodes;
    for (int i = 0; i < 7; ++i) {
      nodes.push_back(std::make_unique<limit_node>());
      nodes.back()->share.Update(7, kStart);
      nodes.back()->lag =
          std::chrono::milliseconds(500 + random.NextBelow(2500));
    }

    WHEN("one fails at 10 s and another joins at 20 s, each seen with a lag") {
      const time_point fails_at = kStart + std::chrono::seconds(10);
      const time_point joins_at = kStart + std::chrono::seconds(20);
      const time_point end = kStart + std::chrono::seconds(45);
      std::vector<std::uint32_t> granted_per_second(45);
      for (time_point now = kStart; now < end; now += kTick) {
        if (now == fails_at) {
          nodes.pop_back();
        }
        if (now == joins_at) {
          nodes.push_back(std::make_unique<limit_node>());
          nodes.back()->share.Join(now);
        }
        for (const auto& node : nodes) {
          std::uint32_t seen = 7;
          if (now >= fails_at + node->lag) {
            --seen;
          }
          if (now >= joins_at + node->lag) {
            ++seen;
          }
          node->share.Update(seen, now);
        }
        const auto second =
            std::chrono::floor<std::chrono::seconds>(now - kStart);
        for (int i = 0; i < 3; ++i) {
          const auto chosen =
              random.NextBelow(static_cast<std::uint32_t>(nodes.size()));
          limit_node& node = *nodes[chosen];
          if (!node.limits.Reserve(customer, node.share, 1, now).refused) {
            ++granted_per_second[static_cast<std::size_t>(second.count())];
          }
        }
      }

      THEN("the grants of any 5 s are between 50% and 105% of the limit") {
        for (std::size_t from = 0; from + 5 <= granted_per_second.size();
             ++from) {
          std::uint32_t granted = 0;
          for (std::size_t i = from; i < from + 5; ++i) {
            granted += granted_per_second[i];
          }
          REQUIRE(granted < 5 * kLimit * 105 / 100);
          REQUIRE(granted > 5 * kLimit / 2);
        }
      }
    }
  }
}

}  // namespace anvilloom
