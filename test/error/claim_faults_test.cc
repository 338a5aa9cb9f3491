// Guards against deposits that run twice and callers that get a false outcome.
// Runs separate processes and injects faults into the store, the upstream and
// the entry instances.

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <future>
#include <map>
#include <string>
#include <string_view>
#include <thread>

#include "test/support/local_system.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::string_view kPath = "/s/deposit/hold";
constexpr std::string_view kBody = R"({"amount":100})";
constexpr std::string_view kKey = "key-1";
constexpr std::chrono::milliseconds kClaimStoredTimeout{10'000};
// Longer than a planned stop takes if there is nothing to wait for.
constexpr std::chrono::milliseconds kIdleStopTime{2'000};

// Two entry instances and one service that counts the runs of each operation.
class deposit_system {
 public:
  deposit_system() {
    objects_ = system_.Start("objects", "standins/standin_objects");
    service_ = system_.Start("service", "standins/standin_service");
    entry_a_ = system_.StartEntry("entry-a", "zone-a");
    entry_b_ = system_.StartEntry("entry-b", "zone-b");
    system_.WriteConfiguration("10-all.json",
                               TestConfiguration({}, {service_}));
    REQUIRE(system_.PublishConfiguration() == 0);
    REQUIRE(system_.AwaitReady("entry-a"));
    REQUIRE(system_.AwaitReady("entry-b"));
  }

  local_system& processes() { return system_; }
  std::uint16_t entry_a() const { return entry_a_; }
  std::uint16_t entry_b() const { return entry_b_; }

  void FaultStore(std::string_view rule) const { Fault(objects_, rule); }
  void FaultService(std::string_view rule) const { Fault(service_, rule); }
  void EndFaults() const {
    Call(objects_, http_verb::delete_, "/faults");
    Call(service_, http_verb::delete_, "/faults");
  }

  // How often the operation with this key ran at the service.
  std::uint64_t Runs(std::string_view key = kKey) const {
    const auto counts = ParseJson(Call(service_, http_verb::get, "/runs").body);
    REQUIRE(counts);
    return UnsignedMember(*counts, key).value_or(0);
  }

  // Returns whether a claim in this state is stored.
  bool HasClaim(std::string_view state) const {
    const std::string claims =
        Call(objects_, http_verb::get, "/objects/claims").body;
    return claims.find("\"state\":\"" + std::string(state) + "\"") !=
           std::string::npos;
  }

 private:
  static void Fault(std::uint16_t port, std::string_view rule) {
    REQUIRE(Call(port, http_verb::post, "/faults", rule).status == 200);
  }

  local_system system_;
  std::uint16_t objects_ = 0;
  std::uint16_t service_ = 0;
  std::uint16_t entry_a_ = 0;
  std::uint16_t entry_b_ = 0;
};

caller_answer Deposit(std::uint16_t entry,
                      std::uint32_t deadline_ms,
                      std::string_view body = kBody,
                      std::string_view key = kKey) {
  return Call(entry, http_verb::post, kPath, body,
              {{"Idempotency-Key", std::string(key)},
               {"X-Deadline-Ms", std::to_string(deadline_ms)}});
}

std::future<caller_answer> DepositAsync(std::uint16_t entry,
                                        std::uint32_t deadline_ms) {
  return std::async(std::launch::async,
                    [=] { return Deposit(entry, deadline_ms); });
}

// The outcome reported to the caller: "ran", "unknown", "not_run", or "nothing"
// if there was no response.
std::string ReportedOutcome(const caller_answer& answer) {
  if (answer.status == 0) {
    return "nothing";
  }
  if (answer.status == 200) {
    return "ran";
  }
  const auto parsed = ParseJson(answer.body);
  const auto* error = parsed ? FindMember(*parsed, "error") : nullptr;
  REQUIRE(error != nullptr);
  return std::string(StringMember(*error, "outcome").value_or(""));
}

std::string ErrorCode(const caller_answer& answer) {
  const auto parsed = ParseJson(answer.body);
  const auto* error = parsed ? FindMember(*parsed, "error") : nullptr;
  return error == nullptr
             ? std::string()
             : std::string(StringMember(*error, "code").value_or(""));
}

// Returns whether the reported outcome is consistent with the number of runs.
bool IsConsistent(const std::string& reported_outcome, std::uint64_t runs) {
  if (reported_outcome == "ran") {
    return runs == 1;
  }
  return reported_outcome == "not_run" ? runs == 0 : runs <= 1;
}

// One injected fault and the expected response to the owner's caller.
struct fault_case {
  std::string name;
  std::string store_rule;
  std::string service_rule;
  std::string expected_outcome;
  std::string code;
  std::uint64_t runs;
  // The outcome of a later call with the same key once the faults have ended.
  std::string expected_later_outcome;
  std::uint64_t runs_later;
};

}  // namespace

SCENARIO("A fault neither repeats a deposit nor causes a false outcome",
         "[claim_faults]") {
  const auto fault = GENERATE(values<fault_case>({
      {"store down",
       R"({"action":"refuse","path":"/objects/claims",)"
       R"("count":1000})",
       "", "not_run", "store_unavailable", 0, "ran", 1},
      {"store hangs",
       R"({"action":"hang","delay_ms":20000,"path":"/objects/claims",)"
       R"("count":1000})",
       "", "not_run", "store_unavailable", 0, "ran", 1},
      {"store slow",
       R"({"action":"delay","delay_ms":200,"path":"/objects/claims",)"
       R"("count":1000})",
       "", "ran", "", 1, "ran", 1},
      {"create lost",
       R"({"action":"drop_before","method":"POST","path":"/objects/claims"})",
       "", "ran", "", 1, "ran", 1},
      {"answer of the create lost",
       R"({"action":"drop_after","method":"POST","path":"/objects/claims"})",
       "", "ran", "", 1, "ran", 1},
      {"answer of the create lost, then store down for reads",
       R"({"action":"drop_after","method":"POST","path":"/objects/claims"})",
       "", "not_run", "store_unavailable", 0, "ran", 1},
      {"update lost",
       R"({"action":"drop_before","method":"PUT","path":"/objects/claims"})",
       "", "ran", "", 1, "ran", 1},
      {"answer of the update lost",
       R"({"action":"drop_after","method":"PUT","path":"/objects/claims"})", "",
       "ran", "", 1, "ran", 1},
      {"no update succeeds",
       R"({"action":"drop_before","method":"PUT","path":"/objects/claims",)"
       R"("count":1000})",
       "", "ran", "", 1, "ran", 1},
      {"upstream drops before it runs", "",
       R"({"action":"drop_before","path":"/hold"})", "unknown",
       "upstream_failed", 0, "unknown", 0},
      {"upstream drops after it ran", "",
       R"({"action":"drop_after","path":"/hold"})", "unknown",
       "upstream_failed", 1, "unknown", 1},
      {"upstream is late", "",
       R"({"action":"delay","delay_ms":4000,"path":"/hold"})", "unknown",
       "upstream_failed", 0, "unknown", 1},
  }));

  GIVEN("two entry instances and the fault: " + fault.name) {
    deposit_system system;
    if (!fault.store_rule.empty()) {
      system.FaultStore(fault.store_rule);
    }
    if (fault.name.ends_with("down for reads")) {
      system.FaultStore(
          R"({"action":"refuse","method":"GET","path":"/objects/claims",)"
          R"("count":1000})");
    }
    if (!fault.service_rule.empty()) {
      system.FaultService(fault.service_rule);
    }

    WHEN("a caller makes a deposit") {
      const auto begun = std::chrono::steady_clock::now();
      const caller_answer answer = Deposit(system.entry_a(), 3000);
      const auto elapsed = std::chrono::steady_clock::now() - begun;

      THEN("its outcome and that of a later call elsewhere are correct") {
        CHECK(ReportedOutcome(answer) == fault.expected_outcome);
        CHECK(ErrorCode(answer) == fault.code);
        CHECK(system.Runs() == fault.runs);
        // Recording the result may end claim_settings::record_limit (2 s) after
        // the deadline of 3 s.
        CHECK(elapsed < std::chrono::milliseconds(5500));
        system.EndFaults();
        const caller_answer later = Deposit(system.entry_b(), 15'000);
        CHECK(ReportedOutcome(later) == fault.expected_later_outcome);
        // The upstream may still run a request after its sender gave up.
        CHECK(Eventually([&] { return system.Runs() == fault.runs_later; },
                         std::chrono::seconds(5)));
        CHECK(IsConsistent(ReportedOutcome(later), system.Runs()));
        if (fault.expected_outcome == "ran" &&
            fault.expected_later_outcome == "ran") {
          CHECK(later.body == answer.body);
        }
      }
    }
  }
}

SCENARIO("Duplicates of a deposit share one run", "[claim_faults]") {
  GIVEN("two entry instances and a slow service") {
    deposit_system system;
    system.FaultService(
        R"({"action":"delay","delay_ms":700,"path":"/hold","count":1000})");

    WHEN("the same deposit arrives at both at once") {
      auto first = DepositAsync(system.entry_a(), 8000);
      auto second = DepositAsync(system.entry_b(), 8000);
      const caller_answer one = first.get();
      const caller_answer two = second.get();

      THEN("both get the answer of the one run") {
        CHECK(one.status == 200);
        CHECK(two.status == 200);
        CHECK(one.body == two.body);
        CHECK(system.Runs() == 1);
      }
    }

    WHEN("a key is used again with another body") {
      REQUIRE(Deposit(system.entry_a(), 8000).status == 200);
      const caller_answer other =
          Deposit(system.entry_b(), 8000, R"({"amount":200})");

      THEN("it is refused as not run") {
        CHECK(ErrorCode(other) == "idempotency_key_reused");
        CHECK(ReportedOutcome(other) == "not_run");
        CHECK(system.Runs() == 1);
      }
    }

    WHEN("deposits without a key name the same artist and date") {
      const std::string body =
          R"({"artist":"Amaya","date":"2027-05-01","amount":100})";
      const std::map<std::string, std::string> none;
      const caller_answer one =
          Call(system.entry_a(), http_verb::post, kPath, body, none);
      const caller_answer two =
          Call(system.entry_b(), http_verb::post, kPath, body, none);
      const caller_answer conflicting =
          Call(system.entry_b(), http_verb::post, kPath,
               R"({"artist":"Amaya","date":"2027-05-01","amount":90})", none);

      THEN("they are one operation, and a conflicting deposit is refused") {
        CHECK(one.status == 200);
        CHECK(two.body == one.body);
        CHECK(ErrorCode(conflicting) == "idempotency_key_reused");
      }
    }

    WHEN("a deposit has neither a key nor the identity fields") {
      const caller_answer answer =
          Call(system.entry_a(), http_verb::post, kPath, kBody);

      THEN("it is refused as not run") {
        CHECK(ErrorCode(answer) == "missing_idempotency_key");
        CHECK(ReportedOutcome(answer) == "not_run");
      }
    }
  }
}

SCENARIO("A planned stop waits for the result of a deposit", "[claim_faults]") {
  GIVEN("a deposit that ran while no update of its claim succeeds") {
    deposit_system system;
    system.FaultStore(
        R"({"action":"refuse","method":"PUT","path":"/objects/claims",)"
        R"("count":100000})");
    REQUIRE(ReportedOutcome(Deposit(system.entry_a(), 8000)) == "ran");
    REQUIRE(system.HasClaim("open"));

    WHEN("its entry instance gets a stop signal before the store recovers") {
      system.processes().process("entry-a").Signal(SIGTERM);
      std::this_thread::sleep_for(kIdleStopTime);
      system.EndFaults();
      REQUIRE(system.processes().process("entry-a").Wait() == 0);

      THEN("the result is stored, and a duplicate gets it at once") {
        REQUIRE(system.HasClaim("done"));
        REQUIRE(ReportedOutcome(Deposit(system.entry_b(), 2000)) == "ran");
        REQUIRE(system.Runs() == 1);
      }
    }
  }
}

SCENARIO("A deposit survives the loss or pause of its owner",
         "[claim_faults]") {
  GIVEN("two entry instances") {
    deposit_system system;
    local_system& processes = system.processes();

    WHEN("the owner is killed between the create and the send") {
      // The answer of the create is dropped after the create took effect, and
      // the read that follows hangs.
      system.FaultStore(
          R"({"action":"drop_after","method":"POST","path":"/objects/claims"})");
      system.FaultStore(R"({"action":"hang","delay_ms":20000,"method":"GET",)"
                        R"("path":"/objects/claims/"})");
      auto lost = DepositAsync(system.entry_a(), 3000);
      REQUIRE(Eventually([&] { return system.HasClaim("open"); },
                         kClaimStoredTimeout));
      processes.process("entry-a").Kill();
      const caller_answer later = Deposit(system.entry_b(), 12'000);

      THEN("the duplicate gets the outcome unknown, and nothing runs") {
        CHECK(ReportedOutcome(lost.get()) == "nothing");
        CHECK(ReportedOutcome(later) == "unknown");
        CHECK(ErrorCode(later) == "outcome_unknown");
        CHECK(system.HasClaim("unknown"));
        CHECK(system.Runs() == 0);
      }
    }

    WHEN("the owner is killed after the send") {
      system.FaultService(
          R"({"action":"delay","delay_ms":1500,"path":"/hold"})");
      auto lost = DepositAsync(system.entry_a(), 3000);
      REQUIRE(Eventually([&] { return system.HasClaim("open"); },
                         kClaimStoredTimeout));
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      processes.process("entry-a").Kill();
      const caller_answer later = Deposit(system.entry_b(), 12'000);

      THEN("the duplicate gets the outcome unknown, and the deposit ran once") {
        CHECK(ReportedOutcome(lost.get()) == "nothing");
        CHECK(ReportedOutcome(later) == "unknown");
        CHECK(system.Runs() == 1);
        CHECK(ReportedOutcome(Deposit(system.entry_b(), 3000)) == "unknown");
        CHECK(system.Runs() == 1);
      }
    }

    WHEN("the owner is killed after the send and restarted") {
      system.FaultService(
          R"({"action":"delay","delay_ms":1500,"path":"/hold"})");
      auto lost = DepositAsync(system.entry_a(), 10'000);
      REQUIRE(Eventually([&] { return system.HasClaim("open"); },
                         kClaimStoredTimeout));
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      processes.process("entry-a").Kill();
      const std::uint16_t again = processes.StartEntry("entry-a", "zone-a");
      REQUIRE(processes.AwaitReady("entry-a"));
      const auto begun = std::chrono::steady_clock::now();
      const caller_answer later = Deposit(again, 9'000);
      const auto elapsed = std::chrono::steady_clock::now() - begun;

      THEN("a duplicate gets the outcome well before the lease of 14 s ends") {
        CHECK(ReportedOutcome(lost.get()) == "nothing");
        CHECK(ErrorCode(later) == "outcome_unknown");
        CHECK(ReportedOutcome(later) == "unknown");
        CHECK(elapsed < std::chrono::seconds(6));
        CHECK(system.Runs() == 1);
      }
    }

    WHEN("the owner is paused across its lease before the send") {
      // The create takes effect, but the owner learns of it only after the
      // pause.
      system.FaultStore(
          R"({"action":"drop_after","method":"POST","path":"/objects/claims"})");
      system.FaultStore(R"({"action":"delay","delay_ms":800,"method":"GET",)"
                        R"("path":"/objects/claims/"})");
      auto paused = DepositAsync(system.entry_a(), 2000);
      REQUIRE(Eventually([&] { return system.HasClaim("open"); },
                         kClaimStoredTimeout));
      processes.process("entry-a").Pause();
      const caller_answer duplicate = Deposit(system.entry_b(), 12'000);
      const bool closed = system.HasClaim("unknown");
      processes.process("entry-a").Continue();
      const caller_answer owner = paused.get();

      THEN("it finds its claim closed, does not send and releases the key") {
        CHECK(closed);
        CHECK(ReportedOutcome(duplicate) == "unknown");
        CHECK(ReportedOutcome(owner) == "not_run");
        CHECK(system.Runs() == 0);
        CHECK(Eventually([&] { return system.HasClaim("not_run"); },
                         std::chrono::seconds(5)));
        CHECK(ReportedOutcome(Deposit(system.entry_b(), 3000)) == "ran");
        CHECK(system.Runs() == 1);
      }
    }

    WHEN("the owner is paused across its lease after the send") {
      system.FaultService(
          R"({"action":"delay","delay_ms":1000,"path":"/hold"})");
      auto paused = DepositAsync(system.entry_a(), 2000);
      REQUIRE(Eventually([&] { return system.HasClaim("open"); },
                         kClaimStoredTimeout));
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      processes.process("entry-a").Pause();
      const caller_answer duplicate = Deposit(system.entry_b(), 12'000);
      processes.process("entry-a").Continue();
      const caller_answer owner = paused.get();

      THEN("the duplicate gets the outcome unknown, and the deposit ran once") {
        CHECK(ReportedOutcome(duplicate) == "unknown");
        CHECK(IsConsistent(ReportedOutcome(owner), system.Runs()));
        CHECK(system.Runs() == 1);
        CHECK(ReportedOutcome(Deposit(system.entry_b(), 3000)) != "not_run");
        CHECK(system.Runs() == 1);
      }
    }

    WHEN("no connection to the upstream can be opened") {
      processes.process("service").Kill();
      const caller_answer refused = Deposit(system.entry_a(), 3000);

      THEN("the deposit does not run, and the key is free again") {
        CHECK(ReportedOutcome(refused) == "not_run");
        CHECK(system.HasClaim("not_run"));
        const std::uint16_t port =
            processes.Start("service-2", "standins/standin_service");
        processes.WriteConfiguration("10-all.json",
                                     TestConfiguration({}, {port}));
        REQUIRE(processes.PublishConfiguration() == 0);
        CHECK(Eventually(
            [&] {
              return ReportedOutcome(Deposit(system.entry_b(), 3000)) == "ran";
            },
            std::chrono::seconds(10)));
      }
    }
  }
}

}  // namespace anvilloom
