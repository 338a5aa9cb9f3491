// Runs gateways whose store comes back from a copy without their writes. Guards
// against a process that ends or refuses calls then, against writes that are
// not made again, against two holders of the duties, and against calls to an
// engine that has left.

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "soak/history.h"
#include "test/support/platform_system.h"

namespace anvilloom {

namespace {

namespace json = boost::json;
using boost::beast::http::verb;

constexpr std::chrono::seconds kPatience{30};
constexpr std::string_view kSettings =
    R"(,"rollout_share":0.1,"rollout_extra_calls":50)";

// When the copy is taken.
enum class copy_time { kBeforeAllWrites, kBeforeTheLastWrites };

// Two gateways with one engine, and an order that ends at once, since it names
// no usable duration.
class recovering_system {
 public:
  explicit recovering_system(copy_time copy) {
    system_.PutManifest();
    system_.StartUpstream("d1", "desk");
    system_.AnnounceVersion("d1", "desk", "v1");
    system_.OrderRollout("desk", "v2", "0");
    TakeCopy();
    for (const std::string name : {"g1", "g2"}) {
      system_.StartGateway(name, 0, kSettings);
      REQUIRE(system_.AwaitReady(name));
      REQUIRE(system_.AwaitUpstreams(name, 1));
    }
    REQUIRE(Eventually([&] { return ReportUsage(); }, kPatience));
    if (copy == copy_time::kBeforeTheLastWrites) {
      TakeCopy();
      REQUIRE(Eventually([&] { return ReportUsage(); }, kPatience));
    }
    REQUIRE(Eventually([&] { return OrderIsReverted(); }, kPatience));
  }

  void TakeCopy() { Control("/standin/copy"); }
  void Recover() { Control("/standin/recover"); }

  // Makes a call at a gateway. Returns whether a later window with calls has
  // been reported than at the last time.
  bool ReportUsage(std::string_view name = "g1") {
    system_.CallOnce(system_.port(name), "/safe/x");
    const json::value latest = LatestUsage();
    const bool is_new = !latest.is_null() && latest != last_usage_;
    if (is_new) {
      last_usage_ = latest;
    }
    return is_new;
  }
  // Whether the counts that ReportUsage() found last are stored.
  bool UsageIsStored() {
    const std::string window = json::serialize(last_usage_.at("windowId"));
    const json::value object = Get("usage-reports/" + window);
    return object.is_object() &&
           object.at("spec").at("requests") == last_usage_.at("counts");
  }
  bool OrderIsReverted() { return system_.RolloutState("desk") == "reverted"; }
  json::value OrderStatus() { return Get("rollouts/desk").at("status"); }
  bool IsListed(std::string_view name) {
    return Get("instances/" + std::string(name)).is_object();
  }
  // The stored lease; null if there is none.
  json::value Lease() {
    const json::value object = Get("leases/duties");
    return object.is_object() ? object.at("spec") : json::value();
  }
  // The name of the gateway that holds the lease.
  std::string Holder() {
    const json::value lease = Lease();
    if (!lease.is_object()) {
      return {};
    }
    const std::string identity = json::serialize(lease.at("holder"));
    return identity.substr(1, 2);
  }
  // Whether the last duty was performed under the stored lease.
  bool LastDutyIsOfHolder() {
    const json::value lease = Lease();
    const json::value last = Duties().as_array().back();
    return lease.is_object() && last.at("holder").as_string() == Holder() &&
           last.at("fencing") == lease.at("fencing");
  }
  std::vector<soak::violation> Violations() {
    return soak::CheckDuties(json::serialize(Duties()));
  }
  bool Serves(std::string_view name) {
    return system_.CallOnce(system_.port(name), "/single/1").status == 200;
  }
  // Announces a second engine.
  void AddEngine() { system_.StartVersion("d2", "desk", "v1"); }
  // Removes its entry, as an engine does that leaves without reporting it.
  void RemoveEngine() { system_.Withdraw("d2"); }
  bool HasEngineEntry() { return Get("servers/d2").is_object(); }
  void AwaitUpstreams(std::size_t count) {
    for (const std::string name : {"g1", "g2"}) {
      REQUIRE(system_.AwaitUpstreams(name, count));
    }
  }
  // Makes calls at both gateways for a time. Returns how many of them the
  // second engine has got.
  std::size_t CallsToEngine(std::chrono::milliseconds time) {
    const auto runs = [this] {
      const std::string output = process("d2").Output();
      std::size_t count = 0;
      for (std::size_t at = output.find("ran "); at != std::string::npos;
           at = output.find("ran ", at + 1)) {
        ++count;
      }
      return count;
    };
    const std::size_t before = runs();
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      for (const std::string name : {"g1", "g2"}) {
        system_.CallOnce(system_.port(name), "/safe/x");
      }
    }
    return runs() - before;
  }
  child_process& process(std::string_view name) {
    return system_.process(name);
  }
  void Start(std::string_view name) {
    system_.StartGateway(name, 0, kSettings);
  }

 private:
  void Control(std::string_view path) {
    REQUIRE(Call(system_.port("platform"), verb::post, path, "{}").status ==
            200);
  }
  // Returns an object of the store, null if there is none.
  json::value Get(std::string_view path) {
    const auto answer = Call(system_.port("platform"), verb::get,
                             "/anvilloom/objects/" + std::string(path));
    return answer.status == 200 ? json::parse(answer.body) : json::value();
  }
  json::value Duties() {
    return json::parse(
        Call(system_.port("platform"), verb::get, "/standin/duties").body);
  }
  // The last report of a window with calls; null if there is none.
  json::value LatestUsage() {
    json::value latest;
    const json::value duties = Duties();
    for (const json::value& each : duties.as_array()) {
      if (each.at("subject") == "/usage" &&
          !each.at("body").at("counts").as_object().empty()) {
        latest = each.at("body");
      }
    }
    return latest;
  }

  platform_system system_;
  json::value last_usage_;
};

}  // namespace

SCENARIO("The store of running gateways comes back from a copy",
         "[recovered_store]") {
  const auto copy =
      GENERATE(copy_time::kBeforeAllWrites, copy_time::kBeforeTheLastWrites);
  GIVEN("a copy from before "
        << (copy == copy_time::kBeforeAllWrites ? "all writes"
                                                : "the last writes")) {
    recovering_system system(copy);
    const std::string holder = system.Holder();
    REQUIRE((holder == "g1" || holder == "g2"));
    const std::string other = holder == "g1" ? "g2" : "g1";
    const std::uint64_t fencing =
        system.Lease().at("fencing").to_number<std::uint64_t>();
    // Also tells when the rollout began, which must not begin again.
    const json::value status = system.OrderStatus();
    const auto check_written = [&](std::string_view name) {
      CHECK(Eventually([&] { return system.Serves(name); }, kPatience));
      CHECK(Eventually([&] { return system.UsageIsStored(); }, kPatience));
      CHECK(Eventually([&] { return system.OrderStatus() == status; },
                       kPatience));
      CHECK(Eventually([&] { return system.IsListed(name); }, kPatience));
      CHECK(Eventually([&] { return system.Holder() == name; }, kPatience));
      REQUIRE(Eventually([&] { return system.ReportUsage(name); }, kPatience));
      CHECK(Eventually([&] { return system.LastDutyIsOfHolder(); }, kPatience));
      CHECK(system.Lease().at("fencing").to_number<std::uint64_t>() > fencing);
      CHECK(system.OrderStatus() == status);
      CHECK(system.Violations().empty());
      CHECK(system.process(name).OpenDescriptors() > 0);
    };

    WHEN("the holder of the duties goes on") {
      system.Recover();
      THEN("it makes its writes again, and calls are answered") {
        check_written(holder);
        CHECK(system.Serves(other));
        CHECK(Eventually([&] { return system.IsListed(other); }, kPatience));
      }
    }
    WHEN("the holder of the duties is killed") {
      system.process(holder).Kill();
      system.Recover();
      THEN("the other makes them, and calls are answered") {
        check_written(other);
      }
    }
    // Guards against a window that was reported, and is counted again by
    // processes that have not seen its calls.
    WHEN("all gateways are killed after another window was reported") {
      REQUIRE(Eventually([&] { return system.ReportUsage(); }, kPatience));
      for (const std::string& name : {holder, other}) {
        system.process(name).Kill();
      }
      system.Recover();
      for (const std::string& name : {holder, other}) {
        system.Start(name);
      }
      THEN("later windows are reported, and no other counts of this one") {
        CHECK(
            Eventually([&] { return system.ReportUsage(holder); }, kPatience));
        CHECK(system.Violations().empty());
      }
    }
  }
}

// Guards against calls that are lost at an engine which has left, since a copy
// of the store holds its entry.
SCENARIO("A copy of the store has the entry of an engine that has left",
         "[recovered_store]") {
  GIVEN("gateways that know that the engine has left") {
    using std::chrono::seconds;
    recovering_system system(copy_time::kBeforeTheLastWrites);
    system.AddEngine();
    system.AwaitUpstreams(2);
    REQUIRE(system.CallsToEngine(seconds(1)) > 0);
    system.TakeCopy();
    system.RemoveEngine();
    system.AwaitUpstreams(1);

    WHEN("the store comes back from that copy") {
      system.Recover();
      REQUIRE(system.HasEngineEntry());
      THEN("the engine gets no call, as it removes its entry again") {
        CHECK(system.CallsToEngine(seconds(1)) == 0);
        system.RemoveEngine();
        CHECK(system.CallsToEngine(seconds(4)) == 0);
      }
      THEN("it gets calls later, if its entry stays") {
        system.AwaitUpstreams(2);
        CHECK(system.CallsToEngine(seconds(1)) > 0);
      }
    }
  }
}

}  // namespace anvilloom
