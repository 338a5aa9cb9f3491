#include "test/support/three_entry_system.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <stdexcept>

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::chrono::seconds kJoinTimeout{20};

void Require(bool holds, const char* message) {
  if (!holds) {
    throw std::runtime_error(message);
  }
}

}  // namespace

three_entry_system::three_entry_system(std::string_view drain_limit_ms) {
  system_.Start("objects", "standins/standin_objects");
  const std::uint16_t instances =
      system_.Start("instances", "standins/standin_instances");
  const auto engine_1 = system_.Start("e1", "standins/standin_engine");
  const auto engine_2 = system_.Start("e2", "standins/standin_engine");
  const std::string shared_settings =
      R"(,"peer_listen":"127.0.0.1:0","drain_grace_ms":100)"
      R"(,"instance_api":"127.0.0.1:)" +
      std::to_string(instances) + '"';
  a_ = system_.StartEntry(
      "entry-a", "zone-a",
      shared_settings + R"(,"drain_limit_ms":)" + std::string(drain_limit_ms));
  b_ =
      system_.StartEntry("entry-b", "zone-b", shared_settings + JoinSettings());
  c_ =
      system_.StartEntry("entry-c", "zone-b", shared_settings + JoinSettings());
  system_.WriteConfiguration("10-all.json",
                             TestConfiguration({engine_1, engine_2}, {}));
  Require(system_.PublishConfiguration() == 0, "The publish failed.");
  for (const std::string_view name : {"entry-a", "entry-b", "entry-c"}) {
    Call(instances, http_verb::post, "/control/instances",
         boost::json::serialize(boost::json::value{{"name", name}}));
    Require(system_.AwaitReady(name), "An entry instance is not ready.");
    Require(Eventually([&] { return MembersSeen(name) == 3; }, kJoinTimeout),
            "The entry instances do not know each other.");
  }
}

std::string three_entry_system::JoinSettings() const {
  return R"(,"seeds":["127.0.0.1:)" +
         std::to_string(system_.peer_port("entry-a")) + "\"]";
}

std::size_t three_entry_system::MembersSeen(std::string_view name) const {
  const caller_answer dump =
      Call(system_.admin_port(name), http_verb::get, "/dump");
  return dump.status == 200
             ? boost::json::parse(dump.body).at("members").as_array().size()
             : 0;
}

std::vector<std::string> three_entry_system::Streams(
    std::string_view name) const {
  const caller_answer dump =
      Call(system_.admin_port(name), http_verb::get, "/dump");
  std::vector<std::string> streams;
  if (dump.status == 200) {
    const auto parsed = boost::json::parse(dump.body);
    for (const auto& each : parsed.at("streams").as_array()) {
      streams.emplace_back(each.at("stream").as_string());
    }
  }
  return streams;
}

std::uint64_t three_entry_system::EngineRequests() const {
  return EngineSum("requests");
}

std::uint64_t three_entry_system::DuplicateIds() const {
  return EngineSum("duplicate_ids");
}

std::uint64_t three_entry_system::EngineSum(std::string_view member) const {
  std::uint64_t sum = 0;
  for (const std::string_view engine : {"e1", "e2"}) {
    const caller_answer seen =
        Call(system_.port(engine), http_verb::post, "/seen");
    sum += boost::json::parse(seen.body)
               .at({member.data(), member.size()})
               .to_number<std::uint64_t>();
  }
  return sum;
}

std::future<stream_result> three_entry_system::Follow(
    const std::vector<std::uint16_t>& ports,
    const std::string& prompt,
    std::uint32_t tokens) const {
  return std::async(std::launch::async, [ports, prompt, tokens] {
    return FollowStream(ports, prompt, tokens);
  });
}

}  // namespace anvilloom
