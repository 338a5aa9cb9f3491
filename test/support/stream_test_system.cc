#include "test/support/stream_test_system.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <stdexcept>

#include "wire/json_text.h"
#include "wire/line_splitter.h"

namespace anvilloom {

namespace {

namespace json = boost::json;
using http_verb = boost::beast::http::verb;

void Require(bool holds, const char* message) {
  if (!holds) {
    throw std::runtime_error(message);
  }
}

void AddEvent(std::string_view data, streamed_answer& result) {
  if (data == "[DONE]") {
    result.ended = true;
    return;
  }
  const auto parsed = ParseJson(data);
  const json::value* choices =
      parsed ? FindMember(*parsed, "choices") : nullptr;
  if (choices == nullptr) {
    return;
  }
  const json::value* delta = FindMember(choices->get_array().front(), "delta");
  if (const auto text = StringMember(*delta, "content")) {
    result.text += *text;
    ++result.tokens;
  }
}

}  // namespace

streamed_answer ReadEvents(const caller_answer& answer) {
  streamed_answer read;
  read.status = answer.status;
  line_splitter lines;
  lines.Append(answer.body);
  std::uint32_t next = 0;
  while (const auto line = lines.NextLine()) {
    if (line->starts_with("id: ")) {
      const std::string_view digits = line->substr(line->rfind(':') + 1);
      read.consecutive = read.consecutive && digits == std::to_string(next++);
    } else if (line->starts_with("data: ")) {
      AddEvent(line->substr(6), read);
    }
  }
  return read;
}

stream_test_system::stream_test_system(
    const stream_test_system_options& options)
    : engines_(options.engines.size()) {
  system_.Start("objects", "standins/standin_objects");
  const std::uint16_t instances =
      system_.Start("instances", "standins/standin_instances",
                    {"--list-lag-ms", options.list_lag_ms});
  std::vector<std::uint16_t> ports;
  ports.reserve(engines_);
  for (std::size_t i = 1; i <= engines_; ++i) {
    const std::string name = EngineName(i);
    ports.push_back(
        system_.Start(name, "standins/standin_engine", options.engines[i - 1]));
    Call(instances, http_verb::post, "/control/instances",
         json::serialize(json::value{{"name", name}}));
  }
  entry_port_ = system_.StartEntry("entry-a", "zone-a",
                                   R"(,"instance_api":"127.0.0.1:)" +
                                       std::to_string(instances) + '"' +
                                       options.settings);
  system_.WriteConfiguration("10-all.json", TestConfiguration(ports, {}));
  system_.WriteConfiguration(
      "20-service.json", R"({"services":{"plan":)" + options.service + "}}");
  Require(system_.PublishConfiguration() == 0, "The publish failed.");
  Require(system_.AwaitReady("entry-a"), "The entry instance is not ready.");
}

std::string stream_test_system::EngineName(std::size_t number) {
  return "engine-" + std::to_string(number);
}

child_process& stream_test_system::engine(std::size_t number) {
  return system_.process(EngineName(number));
}

caller_answer stream_test_system::CallEngine(std::size_t number,
                                             std::string_view path,
                                             std::string_view body) const {
  return Call(system_.port(EngineName(number)), http_verb::post, path, body);
}

void stream_test_system::AddFault(std::size_t number,
                                  std::string_view rule) const {
  const caller_answer added = CallEngine(number, "/faults", rule);
  Require(added.status == 200, "The fault rule was refused.");
}

void stream_test_system::AddReclaimNotice(
    std::size_t number,
    std::uint32_t until_reclaim_ms) const {
  const json::value body = {{"instance", EngineName(number)},
                            {"until_reclaim_ms", until_reclaim_ms}};
  const caller_answer given = Call(system_.port("instances"), http_verb::post,
                                   "/control/notices", json::serialize(body));
  Require(given.status == 200, "The notice was refused.");
}

streamed_answer stream_test_system::Stream(std::string_view prompt,
                                           std::uint32_t tokens,
                                           std::uint32_t timeout_ms) const {
  return ReadEvents(Call(entry_port_, http_verb::post, "/v1/chat/completions",
                         ChatBody(prompt, tokens, true), {}, timeout_ms));
}

std::future<streamed_answer> stream_test_system::StreamAsync(
    std::string prompt,
    std::uint32_t tokens) const {
  return std::async(std::launch::async,
                    [this, prompt = std::move(prompt), tokens] {
                      return Stream(prompt, tokens);
                    });
}

void stream_test_system::WarmUpEngines() {
  std::vector<std::future<streamed_answer>> answers;
  answers.reserve(engines_);
  for (std::size_t i = 0; i < engines_; ++i) {
    answers.push_back(StreamAsync("warm-up " + std::to_string(i), 20));
  }
  for (auto& answer : answers) {
    Require(answer.get().ended, "A warm-up request failed.");
  }
}

double stream_test_system::Metric(std::string_view name) const {
  const caller_answer metrics =
      Call(system_.admin_port("entry-a"), http_verb::get, "/metrics");
  const std::string metric_prefix = "anvilloom_" + std::string(name) + "{";
  line_splitter lines;
  lines.Append(metrics.body);
  double sum = 0;
  while (const auto line = lines.NextLine()) {
    if (line->starts_with(metric_prefix)) {
      sum += std::stod(std::string(line->substr(line->rfind(' '))));
    }
  }
  return sum;
}

std::string stream_test_system::Link(std::size_t number,
                                     std::string_view member) const {
  const caller_answer dump =
      Call(system_.admin_port("entry-a"), http_verb::get, "/dump");
  const auto parsed = ParseJson(dump.body);
  const json::value* links = parsed ? FindMember(*parsed, "links") : nullptr;
  if (links == nullptr) {
    return {};
  }
  for (const json::value& link : links->get_array()) {
    if (StringMember(link, "upstream") == EngineName(number)) {
      const json::value* dump_value = FindMember(link, member);
      return dump_value == nullptr ? std::string()
                                   : json::serialize(*dump_value);
    }
  }
  return {};
}

std::string stream_test_system::Condition(std::size_t number) const {
  const std::string quoted = Link(number, "condition");
  return quoted.size() < 2 ? quoted : quoted.substr(1, quoted.size() - 2);
}

std::uint64_t stream_test_system::Outstanding(std::size_t number) const {
  const std::string text = Link(number, "outstanding_requests");
  return text.empty() ? 0 : std::stoull(text);
}

std::size_t stream_test_system::BusiestEngine() const {
  std::size_t busiest = 0;
  std::uint64_t most = 0;
  for (std::size_t i = 1; i <= engines_; ++i) {
    const std::uint64_t outstanding = Outstanding(i);
    if (outstanding > most) {
      busiest = i;
      most = outstanding;
    }
  }
  return busiest;
}

bool stream_test_system::AwaitTokens(std::uint64_t tokens) const {
  return Eventually(
      [&] {
        const caller_answer dump =
            Call(system_.admin_port("entry-a"), http_verb::get, "/dump");
        const auto parsed = ParseJson(dump.body);
        const json::value* streams =
            parsed ? FindMember(*parsed, "streams") : nullptr;
        if (streams == nullptr) {
          return false;
        }
        for (const json::value& stream : streams->get_array()) {
          if (UnsignedMember(stream, "tokens").value_or(0) >= tokens) {
            return true;
          }
        }
        return false;
      },
      std::chrono::seconds(20));
}

std::uint64_t stream_test_system::RequestCount(std::size_t number) const {
  const caller_answer seen = CallEngine(number, "/seen", "");
  const auto parsed = ParseJson(seen.body);
  return parsed ? UnsignedMember(*parsed, "requests").value_or(0) : 0;
}

}  // namespace anvilloom
