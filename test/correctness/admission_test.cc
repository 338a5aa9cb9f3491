// Guards against queues that build up before requests are refused, and against
// a workspace that loses its guaranteed share to one with too many requests.

#include "contracts/admission.h"

#include <catch2/catch.hpp>
#include <vector>

namespace anvilloom {

namespace {

constexpr time_point kNow{std::chrono::seconds(100)};

admission_request Request(priority priority_class,
                          std::uint32_t load_permille) {
  admission_request request;
  request.priority_class = priority_class;
  request.load_permille = load_permille;
  request.expected_first_token = std::chrono::milliseconds(300);
  request.answer_by = deadline::After(kNow, std::chrono::seconds(60));
  return request;
}

}  // namespace

SCENARIO("Admission sheds by load, priority, deadline and share",
         "[admission]") {
  std::vector<workspace> workspaces(2);
  workspaces[0].weight = 1;
  workspaces[1].weight = 3;
  std::vector<std::shared_ptr<workspace_account>> accounts = {
      std::make_shared<workspace_account>(),
      std::make_shared<workspace_account>()};
  const admission_state state{workspaces, accounts, 100};

  GIVEN("one workspace that uses the whole capacity") {
    accounts[0]->Begin(10'000, kNow);

    THEN("its requests are shed by priority as the load rises") {
      const auto [priority_class, load, admitted] =
          GENERATE(table<priority, std::uint32_t, bool>({
              {priority::kBatch, 650, true},
              {priority::kBatch, 750, false},
              {priority::kNormal, 750, true},
              {priority::kNormal, 900, false},
              {priority::kInteractive, 900, true},
              {priority::kInteractive, 1000, false},
          }));
      REQUIRE(!Admit(state, 0, Request(priority_class, load), kNow) ==
              admitted);
    }

    THEN("a request that would miss the first-token target is shed") {
      admission_request late = Request(priority::kInteractive, 500);
      late.expected_delay = std::chrono::milliseconds(200);
      const auto refused = Admit(state, 0, late, kNow);
      REQUIRE(refused);
      REQUIRE(refused->code == refusal_code::kOverloaded);
      REQUIRE(refused->ran == outcome::kNotRun);
    }

    THEN("the other workspace still gets its guaranteed share") {
      REQUIRE_FALSE(Admit(state, 1, Request(priority::kNormal, 1000), kNow));
    }

    THEN("nothing is admitted at a load that slows down running requests") {
      REQUIRE(Admit(state, 1, Request(priority::kInteractive, 1200), kNow));
    }
  }

  GIVEN("two workspaces that use capacity by their weights") {
    accounts[0]->Begin(1'000, kNow);
    accounts[1]->Begin(3'000, kNow);

    THEN("neither exceeds its share under overload") {
      REQUIRE(Admit(state, 0, Request(priority::kNormal, 1000), kNow));
      REQUIRE(Admit(state, 1, Request(priority::kNormal, 1000), kNow));
    }
    WHEN("one of them has recently used less than its share") {
      const time_point later = kNow + std::chrono::seconds(20);
      accounts[0]->Begin(700, later);
      admission_request request = Request(priority::kNormal, 1000);
      request.answer_by = deadline::After(later, std::chrono::seconds(60));

      THEN("the one above its share is refused, the other is admitted") {
        REQUIRE(Admit(state, 0, request, later));
        REQUIRE_FALSE(Admit(state, 1, request, later));
      }
    }
  }

  GIVEN("a workspace below its share that requests one long answer") {
    accounts[0]->Begin(500, kNow);
    accounts[1]->Begin(5'000, kNow);
    const admission_request request = Request(priority::kNormal, 1000);
    REQUIRE_FALSE(Admit(state, 0, request, kNow));

    WHEN("that answer exceeds the share") {
      accounts[0]->Begin(5'000, kNow);

      THEN("it is refused until its share covers that answer") {
        REQUIRE(Admit(state, 0, request, kNow));
        accounts[1]->Begin(15'000, kNow);
        REQUIRE_FALSE(Admit(state, 0, request, kNow));
      }
    }
  }

  GIVEN("a request whose first token is expected after its deadline") {
    admission_request late = Request(priority::kInteractive, 100);
    late.answer_by = deadline::After(kNow, std::chrono::milliseconds(200));

    THEN("it is refused at any load") {
      REQUIRE(Admit(state, 0, late, kNow));
    }
  }

  GIVEN("a workspace with as many open requests as one instance allows") {
    for (int i = 0; i < 100; ++i) {
      accounts[0]->Begin(1, kNow);
    }

    THEN("it is refused with the workspace limit") {
      const auto refused = Admit(state, 0, Request(priority::kNormal, 0), kNow);
      REQUIRE(refused);
      REQUIRE(refused->code == refusal_code::kWorkspaceLimit);
    }
  }

  GIVEN("requests that are refused together") {
    accounts[0]->Begin(10'000, kNow);

    THEN("their retry times are 1 to 2 s ahead and differ") {
      admission_request first = Request(priority::kNormal, 1000);
      admission_request second = first;
      first.random = 123'456;
      second.random = 654'321;
      const auto one = Admit(state, 0, first, kNow);
      const auto two = Admit(state, 0, second, kNow);
      REQUIRE(one->retry_at != two->retry_at);
      REQUIRE(one->retry_at->Remaining(kNow) >= std::chrono::seconds(1));
      REQUIRE(two->retry_at->Remaining(kNow) < std::chrono::seconds(2));
    }
  }
}

}  // namespace anvilloom
