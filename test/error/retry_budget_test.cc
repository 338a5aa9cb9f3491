// Guards against retry storms: retries that add load during an outage, run an
// operation twice, or are sent after the deadline.

#include "links/retry_budget.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "common/random.h"
#include "links/hedge.h"

namespace anvilloom {

namespace {

constexpr time_point kNow{std::chrono::seconds(100)};
constexpr std::uint32_t kPermille = 100;

void FillBudget(retry_budget& budget) {
  for (int i = 0; i < 1000; ++i) {
    budget.Request(kPermille);
  }
}

}  // namespace

SCENARIO("Only repeatable attempts are retried", "[retry_budget]") {
  GIVEN("a full budget") {
    retry_budget budget;
    FillBudget(budget);

    THEN("contract, deadline and whether it was sent decide the verdict") {
      const auto [repeatable, sent, left_ms, verdict] =
          GENERATE(table<bool, bool, int, retry_verdict>({
              {true, true, 5000, retry_verdict::kRetry},
              {true, false, 5000, retry_verdict::kRetry},
              {false, false, 5000, retry_verdict::kRetry},
              {false, true, 5000, retry_verdict::kNotRepeatable},
              {true, true, 0, retry_verdict::kPastDeadline},
              {true, true, 50, retry_verdict::kPastDeadline},
              {false, true, 0, retry_verdict::kNotRepeatable},
          }));
      const retry_request request{
          repeatable, sent,
          deadline::After(kNow, std::chrono::milliseconds(left_ms)),
          std::chrono::milliseconds(50)};
      const std::int64_t before = budget.balance_permille();
      REQUIRE(budget.RequestRetry(request, kNow) == verdict);
      const bool taken = budget.balance_permille() < before;
      REQUIRE(taken == (verdict == retry_verdict::kRetry));
    }
  }

  GIVEN("a process that has just started") {
    retry_budget budget;

    THEN("it grants no retry yet") {
      REQUIRE(budget.RequestRetry({.repeatable = true}, kNow) ==
              retry_verdict::kBudgetSpent);
    }
  }
}

SCENARIO("All upstreams fail", "[retry_budget]") {
  GIVEN("requests that ask for up to three retries each") {
    retry_budget budget;
    const bool starts_full = GENERATE(false, true);
    if (starts_full) {
      FillBudget(budget);
    }

    WHEN("a thousand of them fail every attempt") {
      std::uint32_t attempts = 0;
      for (int request = 0; request < 1000; ++request) {
        budget.Request(kPermille);
        ++attempts;
        for (int repeat = 0; repeat < 3; ++repeat) {
          if (budget.RequestRetry({.repeatable = true}, kNow) !=
              retry_verdict::kRetry) {
            break;
          }
          ++attempts;
        }
      }

      THEN("retries add less than 10%, even if the budget was full") {
        REQUIRE(attempts < 1100);
        REQUIRE(attempts > 1090);
      }
    }

    WHEN("four threads retry concurrently") {
      std::atomic<std::uint32_t> repeats{0};
      std::vector<std::thread> threads;
      threads.reserve(4);
      for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
          for (int request = 0; request < 10'000; ++request) {
            budget.Request(kPermille);
            if (budget.TryTake()) {
              repeats.fetch_add(1);
            }
          }
        });
      }
      for (std::thread& thread : threads) {
        thread.join();
      }

      THEN("the retries stay within the budget") {
        REQUIRE(repeats <= 4'000);
        REQUIRE(budget.balance_permille() >= 0);
      }
    }
  }
}

SCENARIO("A slow lookup is hedged", "[retry_budget]") {
  GIVEN("a service with latencies of 1 to 100 ms") {
    hedge lookups;
    split_mix random(GENERATE(range(1U, 11U)));
    for (int i = 0; i < 20'000; ++i) {
      lookups.Observe(
          std::chrono::microseconds(1000 + random.NextBelow(99'000)));
    }
    contract terms;
    terms.repeatable = true;
    const deadline answer_by = deadline::After(kNow, std::chrono::seconds(1));

    THEN("the hedge is sent at about the 95th percentile") {
      const auto at = lookups.SendAt(terms, kNow, answer_by);
      REQUIRE(at);
      REQUIRE(at->Remaining(kNow) > std::chrono::milliseconds(85));
      REQUIRE(at->Remaining(kNow) < std::chrono::milliseconds(105));
    }
    THEN("no hedge is sent after the deadline or for a non-repeatable call") {
      REQUIRE_FALSE(lookups.SendAt(
          terms, kNow, deadline::After(kNow, std::chrono::milliseconds(50))));
      terms.repeatable = false;
      REQUIRE_FALSE(lookups.SendAt(terms, kNow, answer_by));
    }
    THEN("it is charged to the same budget as retries") {
      retry_budget budget;
      REQUIRE_FALSE(hedge::TryTake(budget, answer_by, kNow));
      FillBudget(budget);
      REQUIRE(hedge::TryTake(budget, answer_by, kNow));
      REQUIRE_FALSE(hedge::TryTake(budget, deadline(kNow), kNow));
    }
  }

  GIVEN("a service that has answered few calls") {
    hedge lookups;
    lookups.Observe(std::chrono::milliseconds(5));

    THEN("no hedge is sent") {
      REQUIRE_FALSE(lookups.SendAt({}, kNow, deadline::Never()));
    }
  }
}

}  // namespace anvilloom
