#include "test/support/local_system.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "common/hash.h"
#include "standins/model_engine.h"
#include "wire/http_client.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

// Processes with sanitizers start slowly on a loaded machine.
constexpr duration kStartTimeout = std::chrono::seconds(30);
constexpr std::chrono::milliseconds kPollInterval{5};

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// The number after `label` in `text`, or 0.
std::uint16_t NumberAfter(std::string_view text, std::string_view label) {
  const std::size_t at = text.find(label);
  if (at == std::string_view::npos) {
    return 0;
  }
  const std::string_view digits = text.substr(at + label.size());
  std::uint16_t number = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return number;
}

json::value Messages(std::string_view prompt) {
  return json::array{{{"role", "user"}, {"content", std::string(prompt)}}};
}

}  // namespace

namespace internal {

void SleepPollInterval() {
  std::this_thread::sleep_for(kPollInterval);
}

}  // namespace internal

caller_answer Call(std::uint16_t port,
                   boost::beast::http::verb method,
                   std::string_view target,
                   std::string_view body,
                   const std::map<std::string, std::string>& headers,
                   std::uint32_t timeout_ms) {
  boost::asio::io_context context(1);
  http_client client(context.get_executor());
  http_request request = MakeRequest(method, target, body);
  request.set("Authorization", "Bearer " + std::string(kTestCredential));
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  const deadline until = deadline::After(steady_source().Now(),
                                         std::chrono::milliseconds(timeout_ms));
  const std::string address = Loopback(port);
  auto result =
      boost::asio::co_spawn(context,
                            client.Exchange(address, std::move(request), until,
                                            connection_use::kFresh),
                            boost::asio::use_future);
  context.run();
  const auto answer = result.get();
  if (!answer) {
    return {};
  }
  const auto wait = answer->find(boost::beast::http::field::retry_after);
  return {answer->result_int(), answer->body(),
          wait == answer->end() ? "" : std::string(wait->value())};
}

local_system::local_system() {
  std::string folder = "/tmp/anvilloom-system-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("A temporary folder could not be created.");
  }
  folder_ = folder;
  std::filesystem::create_directory(folder_ + "/configuration");
}

local_system::~local_system() {
  processes_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::uint16_t local_system::Start(std::string_view name,
                                  std::string_view program,
                                  std::vector<std::string> arguments) {
  auto process = std::make_unique<child_process>(program, arguments);
  std::uint16_t port = 0;
  const bool started = Eventually(
      [&] {
        port = NumberAfter(process->Output(), "listening on port ");
        return port != 0;
      },
      kStartTimeout);
  if (!started) {
    throw std::runtime_error("A stand-in did not start: " + process->Output());
  }
  processes_.insert_or_assign(std::string(name), std::move(process));
  ports_.insert_or_assign(std::string(name), port);
  return port;
}

std::uint16_t local_system::StartEntry(std::string_view name,
                                       std::string_view domain,
                                       std::string_view extra) {
  const std::string path = folder_ + "/" + std::string(name) + ".json";
  std::ofstream(path) << R"({"name":")" << name << R"(","failure_domain":")"
                      << domain << R"(","listen":"127.0.0.1:0",)"
                      << R"("admin_listen":"127.0.0.1:0","object_api":")"
                      << Loopback(port("objects")) << '"' << extra << "}";
  auto process = std::make_unique<child_process>(
      "entry/anvilloom", std::vector<std::string>{"--settings", path});
  std::string output;
  const bool started = Eventually(
      [&] {
        output = process->Output();
        return output.find("E100 ") != std::string::npos &&
               output.find(" peer_address=") != std::string::npos;
      },
      kStartTimeout);
  if (!started) {
    throw std::runtime_error("An entry instance did not start: " + output);
  }
  const std::uint16_t bound = NumberAfter(output, " port=");
  ports_.insert_or_assign(std::string(name), bound);
  ports_.insert_or_assign(std::string(name) + "/admin",
                          NumberAfter(output, " admin_port="));
  ports_.insert_or_assign(std::string(name) + "/peer",
                          NumberAfter(output, " peer_address=127.0.0.1:"));
  processes_.insert_or_assign(std::string(name), std::move(process));
  return bound;
}

std::uint16_t local_system::StartProgram(
    std::string_view name,
    std::string_view program,
    const std::vector<std::string>& arguments,
    const std::vector<port_mark>& marks) {
  auto process = std::make_unique<child_process>(program, arguments);
  std::string output;
  const bool started = Eventually(
      [&] {
        output = process->Output();
        return output.find("E100 ") != std::string::npos &&
               output.find('\n') != std::string::npos;
      },
      kStartTimeout);
  if (!started) {
    throw std::runtime_error("A program did not start: " + output);
  }
  for (const port_mark& mark : marks) {
    ports_.insert_or_assign(std::string(name) + std::string(mark.suffix),
                            NumberAfter(output, mark.text));
  }
  processes_.insert_or_assign(std::string(name), std::move(process));
  return port(name);
}

child_process& local_system::process(std::string_view name) {
  return *processes_.find(name)->second;
}

std::uint16_t local_system::port(std::string_view name) const {
  return ports_.find(name)->second;
}

std::uint16_t local_system::admin_port(std::string_view entry_name) const {
  return ports_.find(std::string(entry_name) + "/admin")->second;
}

std::uint16_t local_system::peer_port(std::string_view entry_name) const {
  return ports_.find(std::string(entry_name) + "/peer")->second;
}

void local_system::WriteConfiguration(std::string_view file,
                                      std::string_view text) {
  const std::string path = folder_ + "/configuration/" + std::string(file);
  if (text.empty()) {
    std::filesystem::remove(path);
    return;
  }
  std::ofstream(path) << text;
}

int local_system::PublishConfiguration() const {
  return RunProgram(
      "ctl/anvilloomctl",
      std::vector<std::string>{"publish", folder_ + "/configuration",
                               "--object-api", Loopback(port("objects"))});
}

bool local_system::AwaitReady(std::string_view entry_name) const {
  const std::uint16_t bound = port(entry_name);
  return Eventually(
      [&] {
        return Call(bound, boost::beast::http::verb::get, "/readyz").status ==
               200;
      },
      kStartTimeout);
}

std::string TestConfiguration(const std::vector<std::uint16_t>& engines,
                              const std::vector<std::uint16_t>& services) {
  json::object upstreams;
  int number = 0;
  const auto add = [&](std::string_view prefix, std::uint16_t port,
                       json::array offered) {
    ++number;
    upstreams[std::string(prefix) + std::to_string(number)] = {
        {"address", Loopback(port)},
        {"failure_domain", number % 2 == 0 ? "zone-a" : "zone-b"},
        {"machine_class", "small"},
        {"price_per_hour_micros", 1'000'000},
        {"reclaimable", true},
        {"services", std::move(offered)}};
  };
  for (const std::uint16_t port : engines) {
    add("engine-", port, {"plan"});
  }
  for (const std::uint16_t port : services) {
    add("service-", port, {"lookup", "deposit"});
  }
  const json::value text = {
      {"failure_domains",
       {{"zone-a", {{"region", "r1"}}}, {"zone-b", {{"region", "r1"}}}}},
      {"workspaces",
       {{"studio",
         {{"credential_sha256", Sha256Hex(kTestCredential)}, {"weight", 1}}}}},
      {"services",
       {{"plan",
         {{"kind", "model"}, {"model", "stylist"}, {"answer_limit_ms", 30000}}},
        {"lookup", {{"kind", "plain"}, {"repeatable", true}}},
        {"deposit",
         {{"kind", "plain"},
          {"repeatable", false},
          {"identity_fields", json::array{"artist", "date"}}}}}},
      {"upstreams", std::move(upstreams)}};
  return json::serialize(text);
}

std::string ChatBody(std::string_view prompt,
                     std::uint32_t max_tokens,
                     bool stream) {
  return json::serialize(json::value{{"model", "plan"},
                                     {"stream", stream},
                                     {"max_tokens", max_tokens},
                                     {"messages", Messages(prompt)}});
}

std::string ExpectedAnswer(std::string_view prompt, std::uint32_t max_tokens) {
  const std::string messages = json::serialize(Messages(prompt));
  std::string text;
  for (std::uint32_t i = 0; i < max_tokens; ++i) {
    text += EngineToken(messages, i);
  }
  return text;
}

}  // namespace anvilloom
