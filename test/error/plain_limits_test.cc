// Guards the limits of a workspace on calls to plain services, without which
// one workspace can take all upstreams from the others. Also guards against the
// outcome "not run" for a claimed call that another attempt has sent.

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>

#include "common/hash.h"
#include "contracts/claim_refusal.h"
#include "test/support/local_system.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;
using caller_headers = std::map<std::string, std::string>;

constexpr std::string_view kOtherCredential = "other-credential";
constexpr std::string_view kDeposit = "/s/deposit/hold";
constexpr std::string_view kBody = R"({"amount":100})";
constexpr unsigned kTooManyRequests = 429;

bool HasError(const caller_answer& answer,
              std::string_view code,
              std::string_view ran) {
  const auto error =
      boost::json::parse(answer.body).as_object().at("error").as_object();
  return error.at("code").as_string() == code &&
         error.at("outcome").as_string() == ran;
}

bool IsLimited(const caller_answer& answer) {
  return answer.status == kTooManyRequests &&
         HasError(answer, "workspace_limit", "not_run") &&
         !answer.retry_after.empty();
}

caller_headers OtherCredential() {
  return {{"Authorization", "Bearer " + std::string(kOtherCredential)}};
}

// Two entry instances that are peers, in front of one plain service.
class limited_system {
 public:
  // `limits` is a JSON object merged into the declaration of workspace
  // "studio", `system_limits` one merged into the section "limits".
  explicit limited_system(std::string_view limits,
                          std::string_view system_limits = "{}") {
    constexpr std::string_view kPeers = R"(,"peer_listen":"127.0.0.1:0")";
    system_.Start("objects", "standins/standin_objects");
    service_ = system_.Start("service", "standins/standin_service");
    entry_a_ = system_.StartEntry("entry-a", "zone-a", kPeers);
    std::string joined(kPeers);
    joined += R"(,"seeds":["127.0.0.1:)";
    joined += std::to_string(system_.peer_port("entry-a"));
    joined += "\"]";
    entry_b_ = system_.StartEntry("entry-b", "zone-b", joined);
    system_.WriteConfiguration("10-all.json",
                               TestConfiguration({}, {service_}));
    system_.WriteConfiguration(
        "20-limits.json", R"({"workspaces":{"studio":)" + std::string(limits) +
                              R"(,"other":{"credential_sha256":")" +
                              Sha256Hex(kOtherCredential) + R"("}},"limits":)" +
                              std::string(system_limits) + "}");
    REQUIRE(system_.PublishConfiguration() == 0);
    REQUIRE(system_.AwaitReady("entry-a"));
    // Entry B is ready after its hold-down; by then each applies half
    // of the limit.
    REQUIRE(system_.AwaitReady("entry-b"));
  }

  std::uint16_t entry_a() const { return entry_a_; }
  std::uint16_t entry_b() const { return entry_b_; }

  void FaultService(std::string_view rule) const { Fault(service_, rule); }
  void FaultStore(std::string_view rule) const {
    Fault(system_.port("objects"), rule);
  }
  void EndStoreFaults() const {
    Call(system_.port("objects"), http_verb::delete_, "/faults");
  }

  // Returns the number of runs at the service for an idempotency key; lookups
  // have the empty key.
  std::int64_t Runs(std::string_view key) const {
    const auto counts =
        boost::json::parse(Call(service_, http_verb::get, "/runs").body);
    const auto* count = counts.as_object().if_contains(key);
    return count == nullptr ? 0 : count->to_number<std::int64_t>();
  }

 private:
  static void Fault(std::uint16_t port, std::string_view rule) {
    REQUIRE(Call(port, http_verb::post, "/faults", rule).status == 200);
  }

  local_system system_;
  std::uint16_t service_ = 0;
  std::uint16_t entry_a_ = 0;
  std::uint16_t entry_b_ = 0;
};

caller_answer Lookup(std::uint16_t port, const caller_headers& headers = {}) {
  return Call(port, http_verb::get, "/s/lookup/x", {}, headers);
}

caller_answer Deposit(std::uint16_t port,
                      const std::string& key,
                      std::string_view body = kBody) {
  return Call(port, http_verb::post, kDeposit, body,
              {{"Idempotency-Key", key}});
}

refusal WorkspaceLimitRefusal() {
  return {refusal_code::kWorkspaceLimit, outcome::kNotRun,
          deadline(time_point(std::chrono::seconds(5)))};
}

versioned_claim MakeClaim(claim_state state) {
  versioned_claim seen{7, {}};
  seen.record.state = state;
  seen.record.request_digest = "digest";
  seen.record.answer = {200, "text/plain", "held"};
  return seen;
}

}  // namespace

SCENARIO("A claimed call exceeds the limit of its workspace",
         "[plain_limits]") {
  GIVEN("each possible result of reading the claim") {
    const auto [reading, digest, code, ran] =
        GENERATE(table<claim_read_result, std::string, refusal_code, outcome>({
            {claim_absent{}, "digest", refusal_code::kWorkspaceLimit,
             outcome::kNotRun},
            {claim_unreadable{}, "digest", refusal_code::kWorkspaceLimit,
             outcome::kUnknown},
            {MakeClaim(claim_state::kNotRun), "digest",
             refusal_code::kWorkspaceLimit, outcome::kNotRun},
            {MakeClaim(claim_state::kNotRun), "another",
             refusal_code::kWorkspaceLimit, outcome::kNotRun},
            {MakeClaim(claim_state::kOpen), "digest",
             refusal_code::kWorkspaceLimit, outcome::kUnknown},
            {MakeClaim(claim_state::kUnknown), "digest",
             refusal_code::kOutcomeUnknown, outcome::kUnknown},
            {MakeClaim(claim_state::kOpen), "another",
             refusal_code::kIdempotencyKeyReused, outcome::kNotRun},
            {MakeClaim(claim_state::kDone), "another",
             refusal_code::kIdempotencyKeyReused, outcome::kNotRun},
        }));

    THEN(
        "the outcome is \"not run\" only if no attempt can have sent the "
        "call") {
      const claim_response verdict =
          RefuseUnattempted(reading, digest, WorkspaceLimitRefusal());
      REQUIRE(std::holds_alternative<return_refusal>(verdict));
      const refusal& reason = std::get<return_refusal>(verdict).reason;
      REQUIRE(reason.code == code);
      REQUIRE(reason.ran == ran);
      REQUIRE(reason.retry_at.has_value() ==
              (code == refusal_code::kWorkspaceLimit));
    }
  }

  GIVEN("a claim with a stored answer") {
    versioned_claim done = MakeClaim(claim_state::kDone);

    THEN("a duplicate gets the answer") {
      const auto verdict =
          RefuseUnattempted(done, "digest", WorkspaceLimitRefusal());
      REQUIRE(std::holds_alternative<return_answer>(verdict));
      REQUIRE(std::get<return_answer>(verdict).answer == done.record.answer);
    }
    THEN("a duplicate of an answer too large to store is told that it ran") {
      done.record.answer.omitted = true;
      const auto verdict =
          RefuseUnattempted(done, "digest", WorkspaceLimitRefusal());
      REQUIRE(std::get<return_refusal>(verdict).reason.ran == outcome::kRan);
    }
  }
}

SCENARIO("Lookups count against the limit of their workspace",
         "[plain_limits]") {
  GIVEN("a limit of 20 requests a second over two entry instances") {
    constexpr double kLimit = 20;
    const limited_system system(R"({"requests_per_second":20})");

    WHEN("a workspace calls both as fast as possible") {
      constexpr std::chrono::seconds kLoadDuration{3};
      int answered = 0;
      int limited = 0;
      const auto begin = std::chrono::steady_clock::now();
      while (std::chrono::steady_clock::now() - begin < kLoadDuration) {
        for (const std::uint16_t port : {system.entry_a(), system.entry_b()}) {
          const caller_answer answer = Lookup(port);
          REQUIRE((answer.status == 200 || IsLimited(answer)));
          ++(answer.status == 200 ? answered : limited);
        }
      }
      const std::chrono::duration<double> span =
          std::chrono::steady_clock::now() - begin;

      THEN("the sum stays within the limit, and refused calls did not run") {
        // Each instance admits a burst of 200 ms of its share, plus the call
        // that exceeds it.
        constexpr double kBursts = 2 * (0.2 * kLimit / 2 + 1);
        REQUIRE(limited > 0);
        REQUIRE(answered <= kLimit * span.count() + kBursts);
        REQUIRE(answered >= kLimit * span.count() / 2);
        REQUIRE(system.Runs("") == answered);
      }
      THEN("another workspace is not affected") {
        constexpr int kCalls = 40;
        for (int i = 0; i < kCalls; ++i) {
          REQUIRE(Lookup(system.entry_a(), OtherCredential()).status == 200);
        }
      }
    }
  }

  GIVEN("one open request for each workspace at an instance") {
    const limited_system system("{}", R"({"open_requests_per_workspace":1})");
    system.FaultService(
        R"({"action":"delay","path":"/slow","count":1,"delay_ms":1500})");

    WHEN("a workspace has a slow lookup open") {
      auto slow = std::async(std::launch::async, [&] {
        return Call(system.entry_a(), http_verb::get, "/s/lookup/slow");
      });
      std::this_thread::sleep_for(std::chrono::milliseconds(300));

      THEN("its next one is refused, but not that of another workspace") {
        REQUIRE(IsLimited(Lookup(system.entry_a())));
        REQUIRE(Lookup(system.entry_a(), OtherCredential()).status == 200);
        REQUIRE(slow.get().status == 200);
        REQUIRE(Lookup(system.entry_a()).status == 200);
      }
    }
  }
}

SCENARIO("Deposits count against the limit of their workspace",
         "[plain_limits]") {
  GIVEN("a limit that admits one call every 2 s at each instance") {
    const limited_system system(R"({"requests_per_second":1})");
    const caller_answer first = Deposit(system.entry_a(), "key-1");
    REQUIRE(first.status == 200);

    WHEN("the same deposit is repeated at once") {
      const caller_answer again = Deposit(system.entry_a(), "key-1");

      THEN("it gets the stored answer") {
        REQUIRE(again.status == 200);
        REQUIRE(again.body == first.body);
        REQUIRE(system.Runs("key-1") == 1);
      }
    }
    WHEN("its claim can't be read") {
      system.FaultStore(
          R"({"action":"refuse","path":"/objects/claims","count":1000})");
      const caller_answer again = Deposit(system.entry_a(), "key-1");
      system.EndStoreFaults();

      THEN("the answer does not say that it did not run") {
        REQUIRE(again.status == kTooManyRequests);
        REQUIRE(HasError(again, "workspace_limit", "unknown"));
      }
    }
    WHEN("another deposit follows at once") {
      const caller_answer refused = Deposit(system.entry_a(), "key-2");

      THEN("it is not run, and its key works later") {
        REQUIRE(IsLimited(refused));
        REQUIRE(system.Runs("key-2") == 0);
        REQUIRE(Eventually(
            [&] { return Deposit(system.entry_a(), "key-2").status == 200; },
            std::chrono::seconds(10)));
        REQUIRE(system.Runs("key-2") == 1);
      }
    }
    WHEN("a deposit is in progress at the other instance") {
      system.FaultService(
          R"({"action":"delay","path":"/hold","count":1,"delay_ms":1000})");
      auto open = std::async(std::launch::async, [&] {
        return Deposit(system.entry_b(), "key-3");
      });
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      const caller_answer duplicate = Deposit(system.entry_a(), "key-3");

      THEN("its duplicate's answer does not say that it did not run") {
        REQUIRE(duplicate.status == kTooManyRequests);
        REQUIRE(HasError(duplicate, "workspace_limit", "unknown"));
        REQUIRE(open.get().status == 200);
        REQUIRE(system.Runs("key-3") == 1);
      }
    }
  }
}

}  // namespace anvilloom
