#include "test/support/platform_system.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <utility>

#include "wire/http_text.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

std::string Replace(std::string text,
                    std::string_view placeholder,
                    std::string_view value) {
  text.replace(text.find(placeholder), placeholder.size(), value);
  return text;
}

std::string ObjectPath(std::string_view kind, std::string_view name) {
  return "/anvilloom/objects/" + std::string(kind) + "/" + PercentEncode(name);
}

// Creates or replaces an object.
void Put(std::uint16_t store,
         std::string_view kind,
         std::string_view name,
         std::string_view spec) {
  const std::string body = R"({"metadata":{"name":)" +
                           boost::json::serialize(boost::json::string(name)) +
                           R"(},"spec":)" + std::string(spec) + "}";
  const auto created = Call(store, http_verb::post,
                            "/anvilloom/objects/" + std::string(kind), body);
  if (created.status == 409) {
    Call(store, http_verb::put, ObjectPath(kind, name), body);
  }
}

}  // namespace

platform_system::platform_system() {
  system_.Start("platform", "platform/standin/standin_platform");
}

void platform_system::PutManifest(const std::vector<std::string>& keys,
                                  std::uint32_t calls_per_second,
                                  const call_size_limits& sizes) {
  std::string list;
  for (const std::string& key : keys) {
    list += (list.empty() ? "\"" : ",\"") + key + '"';
  }
  manifest_version_ += 3;
  std::string text(kPlatformManifest);
  text =
      Replace(std::move(text), "%VERSION%", std::to_string(manifest_version_));
  text = Replace(std::move(text), "%KEYS%", list);
  text = Replace(std::move(text), "%HEADER_BYTES%",
                 std::to_string(sizes.header_bytes));
  text = Replace(std::move(text), "%BODY_BYTES%",
                 std::to_string(sizes.body_bytes));
  text = Replace(std::move(text), "%HEADER_MS%",
                 std::to_string(sizes.header_timeout_ms));
  const std::string rate = std::to_string(calls_per_second);
  text = Replace(std::move(text), "%LIMIT%",
                 R"("ratePerS":)" + rate + R"(,"burst":)" + rate);
  Put(port("platform"), "config", "main", text);
}

std::uint16_t platform_system::StartUpstream(
    std::string_view id,
    std::string_view service,
    std::vector<std::string> arguments) {
  const std::uint16_t upstream_port = StartSilent(id, std::move(arguments));
  Announce(id, service, upstream_port);
  return upstream_port;
}

void platform_system::StartVersion(std::string_view id,
                                   std::string_view service,
                                   std::string_view version) {
  StartSilent(id, {});
  AnnounceVersion(id, service, version);
}

std::uint16_t platform_system::StartSilent(std::string_view id,
                                           std::vector<std::string> arguments) {
  arguments.insert(arguments.end(), {"--id", std::string(id)});
  upstreams_.emplace_back(id);
  return system_.Start(id, "platform/standin/standin_upstream", arguments);
}

void platform_system::Announce(std::string_view id,
                               std::string_view service,
                               std::uint16_t port,
                               std::string_view state) {
  const std::string spec = R"({"service":")" + std::string(service) +
                           R"(","address":"127.0.0.1:)" + std::to_string(port) +
                           R"(","zone":"a","batchSlots":8,"born":1,"state":")" +
                           std::string(state) + R"("})";
  Put(system_.port("platform"), "servers", id, spec);
}

void platform_system::AnnounceVersion(std::string_view id,
                                      std::string_view service,
                                      std::string_view version) {
  const std::string spec =
      R"({"service":")" + std::string(service) + R"(","address":"127.0.0.1:)" +
      std::to_string(port(id)) +
      R"(","zone":"a","batchSlots":8,"born":1,"state":"ready","version":")" +
      std::string(version) + R"("})";
  Put(port("platform"), "servers", id, spec);
}

void platform_system::OrderRollout(std::string_view service,
                                   std::string_view to,
                                   std::string_view duration_s) {
  const std::string spec = R"({"service":")" + std::string(service) +
                           R"(","to":")" + std::string(to) +
                           R"(","durationS":)" + std::string(duration_s) + '}';
  Put(port("platform"), "rollouts", service, spec);
}

std::string platform_system::StatusMember(std::string_view service,
                                          std::string_view member) {
  const auto answer =
      Call(port("platform"), http_verb::get, ObjectPath("rollouts", service));
  const auto object = boost::json::parse(answer.body);
  const boost::json::value* status = object.as_object().if_contains("status");
  if (status == nullptr || !status->is_object()) {
    return {};
  }
  const boost::json::value* found = status->as_object().if_contains(member);
  return found == nullptr ? std::string()
                          : std::string(found->as_string().data(),
                                        found->as_string().size());
}

void platform_system::Withdraw(std::string_view id) {
  Call(port("platform"), http_verb::delete_, ObjectPath("servers", id));
}

std::uint16_t platform_system::StartGateway(std::string_view name,
                                            std::uint16_t store_port,
                                            std::string_view more_settings) {
  const std::uint16_t store = store_port == 0 ? port("platform") : store_port;
  const std::string path =
      std::string(system_.folder()) + "/" + std::string(name) + ".json";
  std::ofstream(path)
      << R"({"name":")" << name
      << R"(","failure_domain":"a","listen":"127.0.0.1:0",)"
      << R"("ready_listen":"127.0.0.1:0","admin_listen":"127.0.0.1:0",)"
      << R"("report_listen":"127.0.0.1:0","store":"127.0.0.1:)" << store
      << R"(","cloud":"127.0.0.1:)" << port("platform")
      << R"(","usage_window_s":2)" << more_settings << '}';
  return system_.StartProgram(
      name, "entry/anvilloom", {"--platform", "--settings", path},
      {{"", " port="}, {"/ready", " ready_port="}, {"/admin", " admin_port="}});
}

bool platform_system::AwaitReady(std::string_view name) const {
  const std::uint16_t ready = port(std::string(name) + "/ready");
  return Eventually(
      [&] { return Call(ready, http_verb::get, "/readyz").status == 200; },
      std::chrono::seconds(20));
}

bool platform_system::AwaitUpstreams(std::string_view name,
                                     std::size_t count) const {
  const std::uint16_t admin = port(std::string(name) + "/admin");
  return Eventually(
      [&] {
        const auto dump = Call(admin, http_verb::get, "/dump");
        return dump.status == 200 && boost::json::parse(dump.body)
                                             .at("upstreams")
                                             .as_array()
                                             .size() == count;
      },
      std::chrono::seconds(20));
}

caller_answer platform_system::CallOnce(std::uint16_t port,
                                        std::string_view path,
                                        std::string_view key,
                                        std::string_view id) {
  last_id_ =
      id.empty() ? "request-" + std::to_string(++next_id_) : std::string(id);
  return Call(port, http_verb::post, path, "body",
              {{"Host", "a.example"},
               {"X-Request-Id", last_id_},
               {"X-Deadline-Ms", "6000"},
               {"Authorization", "Token " + std::string(key)}});
}

std::size_t platform_system::Runs(std::string_view id) {
  const std::string line = "ran " + std::string(id) + " ";
  std::size_t runs = 0;
  for (const std::string& name : upstreams_) {
    const std::string output = process(name).Output();
    for (std::size_t at = output.find(line); at != output.npos;
         at = output.find(line, at + 1)) {
      ++runs;
    }
  }
  return runs;
}

void platform_system::AddFault(std::string_view process,
                               std::string_view rule) {
  Call(port(process), http_verb::post, "/faults", rule);
}

}  // namespace anvilloom
