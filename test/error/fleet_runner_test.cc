// Guards the fleet tasks with real processes: against two lease holders acting
// at once, against orders by a holder that was paused beyond its lease, against
// claims deleted by another instance, and against an outage of the object API
// that stops more than the fleet tasks.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "entry/claim_runner.h"
#include "test/support/local_system.h"
#include "wire/claim_json.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

// Short enough for a test, and long enough for renewals on a busy machine.
constexpr std::string_view kFleetSettings =
    R"(,"fleet_lease_ms":3000,"fleet_round_ms":200)";
// A takeover requires a lease period and a read of the lease.
constexpr duration kTakeOverLimit = std::chrono::seconds(20);
// Long enough for several rounds and reads of the lease.
constexpr std::chrono::milliseconds kSeveralRounds{2000};
// An instance that starts without a configuration retries its sweep after 10 s.
constexpr std::chrono::seconds kSweepRetryPassed{12};
constexpr std::int64_t kThirtyDaysInSeconds = 2'592'000;

std::string TextMember(const std::string& body, std::string_view key) {
  const auto parsed = ParseJson(body);
  const auto text = parsed ? StringMember(*parsed, key) : std::nullopt;
  return std::string(text.value_or(""));
}

// A system with two engines that have loaded "stylist", the second of which
// ignores fencing numbers. Entry instances are started by the scenarios.
class fleet_system {
 public:
  fleet_system() {
    system_.Start("objects", "standins/standin_objects");
    StartEngine("checking", {"--checks-fencing", "--model", "stylist"});
    StartEngine("ignoring", {"--model", "stylist"});
  }

  local_system& processes() { return system_; }

  void StartEngine(std::string_view name, std::vector<std::string> arguments) {
    engines_.push_back(
        system_.Start(name, "standins/standin_engine", std::move(arguments)));
  }

  void Publish() {
    system_.WriteConfiguration("10-all.json", TestConfiguration(engines_, {}));
    REQUIRE(system_.PublishConfiguration() == 0);
  }

  void PublishModel(std::string_view model) {
    system_.WriteConfiguration(
        "20-model.json",
        R"({"services":{"plan":{"model":")" + std::string(model) + R"("}}})");
    REQUIRE(system_.PublishConfiguration() == 0);
  }

  void StartEntry(std::string_view name,
                  std::string_view settings = kFleetSettings) {
    system_.StartEntry(name, "zone-a", settings);
    REQUIRE(system_.AwaitReady(name));
  }

  bool Acts(std::string_view entry) const {
    return Fleet(entry).find("\"acts\":true") != std::string::npos;
  }
  bool AwaitActs(std::string_view entry) const {
    return Eventually([&] { return Acts(entry); }, kTakeOverLimit);
  }
  bool HasFencing(std::string_view entry, unsigned fencing) const {
    return Fleet(entry).find("\"fencing\":" + std::to_string(fencing) + ",") !=
           std::string::npos;
  }

  // The model that the engine reports as loaded or loading.
  std::string Model(std::string_view engine) const {
    return TextMember(Call(system_.port(engine), http_verb::get, "/load").body,
                      "model");
  }
  bool IsLoading(std::string_view engine) const {
    return Call(system_.port(engine), http_verb::get, "/load")
               .body.find("\"loading\":true") != std::string::npos;
  }
  bool AwaitModel(std::string_view engine, std::string_view model) const {
    return Eventually([&] { return Model(engine) == model; }, kTakeOverLimit);
  }
  // The orders that the engine has accepted.
  std::string Orders(std::string_view engine) const {
    return Call(system_.port(engine), http_verb::get, "/orders").body;
  }
  // Sends an order like a lease holder; returns the HTTP status.
  unsigned Order(std::string_view engine, std::string_view body) const {
    return Call(system_.port(engine), http_verb::post, "/orders", body).status;
  }

  void PutClaim(std::string_view name, std::int64_t written_at_s) const {
    claim_record record;
    record.state = claim_state::kUnknown;
    record.attempt = "a.1";
    record.owner = "a";
    record.request_digest = "digest";
    record.lease = std::chrono::seconds(5);
    record.written_at_s = written_at_s;
    const std::string body = R"({"name":")" + std::string(name) +
                             R"(","value":)" + EncodeClaim(record) + "}";
    REQUIRE(
        Call(system_.port("objects"), http_verb::post, "/objects/claims", body)
            .status < 300);
  }
  bool HasClaim(std::string_view name) const {
    return Object("claims/" + std::string(name)) == 200;
  }
  bool HasLease() const { return Object("leases/fleet") == 200; }

  void FaultStore(std::string_view rule) const {
    REQUIRE(Call(system_.port("objects"), http_verb::post, "/faults", rule)
                .status == 200);
  }
  void EndFaults() const {
    Call(system_.port("objects"), http_verb::delete_, "/faults");
  }

  bool Logged(std::string_view entry, std::string_view text) {
    return system_.process(entry).Output().find(text) != std::string::npos;
  }

 private:
  std::string Fleet(std::string_view entry) const {
    const std::string dump =
        Call(system_.admin_port(entry), http_verb::get, "/dump").body;
    const std::size_t at = dump.find("\"fleet\":");
    return at == std::string::npos ? std::string()
                                   : dump.substr(at, dump.find('}', at) - at);
  }
  unsigned Object(const std::string& path) const {
    return Call(system_.port("objects"), http_verb::get, "/objects/" + path)
        .status;
  }

  local_system system_;
  std::vector<std::uint16_t> engines_;
};

}  // namespace

SCENARIO("A holder paused beyond its lease sends no order", "[fleet_runner]") {
  GIVEN("two entry instances, the first of which holds the lease") {
    fleet_system fleet;
    fleet.Publish();
    fleet.StartEntry("entry-a");
    REQUIRE(fleet.AwaitActs("entry-a"));
    CHECK(fleet.HasFencing("entry-a", 1));
    fleet.StartEntry("entry-b");
    CHECK_FALSE(fleet.Acts("entry-b"));

    WHEN("the holder is paused while the configured model changes") {
      fleet.processes().process("entry-a").Pause();
      fleet.PublishModel("stylist-2");
      const bool taken = fleet.AwaitActs("entry-b");
      const bool loaded = fleet.AwaitModel("checking", "stylist-2") &&
                          fleet.AwaitModel("ignoring", "stylist-2");
      // The old holder must not learn the new model before it can send an
      // order.
      fleet.FaultStore(R"({"action":"refuse","method":"GET","count":100000,)"
                       R"("path":"/objects/configuration"})");
      // Delays the renewals, so that it notices the lost lease only after
      // several rounds.
      fleet.FaultStore(R"({"action":"delay","delay_ms":700,"method":"PUT",)"
                       R"("count":4,"path":"/objects/leases"})");
      fleet.processes().process("entry-a").Continue();
      const bool noticed =
          Eventually([&] { return fleet.Logged("entry-a", "E701 lease_lost"); },
                     kTakeOverLimit);
      std::this_thread::sleep_for(kSeveralRounds);

      THEN("the other instance acts, and the old holder sends no order") {
        CHECK(taken);
        CHECK(loaded);
        CHECK(noticed);
        CHECK(fleet.Acts("entry-b"));
        CHECK(fleet.HasFencing("entry-b", 2));
        CHECK_FALSE(fleet.Acts("entry-a"));
        CHECK_FALSE(fleet.Logged("entry-a", "_ordered"));
        CHECK_FALSE(fleet.Logged("entry-a", "order_failed"));
        for (const std::string_view engine : {"checking", "ignoring"}) {
          CAPTURE(engine);
          CHECK(fleet.Orders(engine).find("\"fencing\":1") ==
                std::string::npos);
          CHECK(fleet.Model(engine) == "stylist-2");
        }
      }
      AND_WHEN("an order of the old holder arrives late") {
        const std::string late = R"({"model":"stylist","fencing":1})";
        const unsigned checking = fleet.Order("checking", late);
        const unsigned ignoring = fleet.Order("ignoring", late);

        THEN("one engine refuses it, and the other is corrected") {
          CHECK(checking == 409);
          CHECK(ignoring == 200);
          CHECK(fleet.AwaitModel("ignoring", "stylist-2"));
          CHECK(fleet.Model("checking") == "stylist-2");
          // One order at the takeover and one that corrects the model.
          const std::string orders = fleet.Orders("ignoring");
          const std::string_view order = "\"fencing\":2";
          const std::size_t first = orders.find(order);
          REQUIRE(first != std::string::npos);
          CHECK(orders.find(order, first + 1) != std::string::npos);
        }
      }
    }
  }
}

SCENARIO("Only the lease holder deletes claims past their retention period",
         "[fleet_runner]") {
  GIVEN("an old and a recent claim, and two entry instances") {
    fleet_system fleet;
    fleet.Publish();
    const std::int64_t now = WallClockSeconds();
    fleet.PutClaim("old", now - kThirtyDaysInSeconds);
    fleet.PutClaim("recent", now);
    fleet.StartEntry("entry-a");
    REQUIRE(fleet.AwaitActs("entry-a"));
    fleet.StartEntry("entry-b");

    THEN("the holder deletes the old claim, and the other instance does not") {
      CHECK(Eventually([&] { return !fleet.HasClaim("old"); }, kTakeOverLimit));
      CHECK(Eventually(
          [&] { return fleet.Logged("entry-a", "E404 claims_swept"); },
          kTakeOverLimit));
      // The sweep interval has not passed, so the holder does not delete this
      // claim yet.
      fleet.PutClaim("older", now - kThirtyDaysInSeconds);
      std::this_thread::sleep_for(kSweepRetryPassed);
      CHECK(fleet.HasClaim("older"));
      CHECK_FALSE(fleet.Logged("entry-b", "claims_swept"));

      AND_WHEN("the holder dies") {
        fleet.processes().process("entry-a").Kill();
        THEN("the next holder sweeps") {
          CHECK(Eventually([&] { return !fleet.HasClaim("older"); },
                           kTakeOverLimit));
          CHECK(fleet.HasFencing("entry-b", 2));
          CHECK(fleet.HasClaim("recent"));
        }
      }
    }
  }
}

SCENARIO("An outage of the object API stops only the fleet tasks",
         "[fleet_runner]") {
  GIVEN("an entry instance that holds the lease") {
    fleet_system fleet;
    fleet.Publish();
    fleet.StartEntry("entry-a");
    REQUIRE(fleet.AwaitActs("entry-a"));

    WHEN("the object API refuses every call") {
      fleet.FaultStore(R"({"action":"refuse","count":1000000})");
      REQUIRE(
          Eventually([&] { return !fleet.Acts("entry-a"); }, kTakeOverLimit));
      REQUIRE(fleet.Order("ignoring", R"({"model":"x","fencing":1})") == 200);
      std::this_thread::sleep_for(kSeveralRounds);

      THEN("no order is sent, requests are served, and orders resume later") {
        CHECK(fleet.Model("ignoring") == "x");
        CHECK(fleet.Logged("entry-a", "E703 lease_store_unavailable"));
        CHECK(fleet.processes().AwaitReady("entry-a"));
        const caller_answer answer =
            Call(fleet.processes().port("entry-a"), http_verb::post,
                 "/v1/chat/completions", ChatBody("hello", 4, false));
        CHECK(answer.status == 200);
        fleet.EndFaults();
        CHECK(fleet.AwaitActs("entry-a"));
        CHECK(fleet.AwaitModel("ignoring", "stylist"));
        CHECK(fleet.HasFencing("entry-a", 1));
      }
    }
  }
}

SCENARIO("Orders respect the limit on concurrent loads", "[fleet_runner]") {
  GIVEN("engines without the required model, and a limit of one load") {
    fleet_system fleet;
    const std::vector<std::string> names = {"cold-1", "cold-2", "cold-3"};
    for (const std::string& name : names) {
      fleet.StartEngine(name, {"--model", "none", "--load-us", "700000"});
    }
    fleet.processes().WriteConfiguration(
        "30-limits.json", R"({"limits":{"concurrent_loads":1}})");
    fleet.Publish();
    fleet.StartEntry("entry-a");

    THEN("all load it, one at a time") {
      int most = 0;
      const auto loaded = [&] {
        int loading = 0;
        int done = 0;
        for (const std::string& name : names) {
          const bool busy = fleet.IsLoading(name);
          loading += busy ? 1 : 0;
          done += !busy && fleet.Model(name) == "stylist" ? 1 : 0;
        }
        most = std::max(most, loading);
        return done == static_cast<int>(names.size());
      };
      CHECK(Eventually(loaded, kTakeOverLimit));
      CHECK(most == 1);
    }
  }
}

SCENARIO("The fleet runner can be disabled", "[fleet_runner]") {
  GIVEN("an entry instance whose settings disable it") {
    fleet_system fleet;
    fleet.Publish();
    fleet.StartEntry("entry-a", R"(,"fleet":false)");
    THEN("it does not try to acquire the lease") {
      std::this_thread::sleep_for(kSeveralRounds);
      CHECK_FALSE(fleet.HasLease());
    }
  }
}

}  // namespace anvilloom
