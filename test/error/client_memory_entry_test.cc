// Guards against clients that take an entry instance that runs with --settings
// beyond the memory or the descriptors of its machine, or make it end or hang.
// Checks no times, only that the process lives within its bounds and still
// answers. client_memory_test does the same with --platform.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "test/support/local_system.h"
#include "test/support/misbehaving_clients.h"
#include "test/support/sanitizer.h"
#include "test/support/scripted_engine.h"

namespace anvilloom {

namespace {

using boost::beast::http::verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The lowered limits. Clients may send more slowly than the test takes.
constexpr std::string_view kSettings =
    R"(,"memory_mb":64,"descriptors":800,"threads":2,"limits":{)"
    R"("header_bytes":8192,"body_bytes":1048576,"read_limit_ms":60000})";
constexpr std::size_t kMemoryKb = 64'000'000 / 1024;
constexpr std::size_t kDescriptors = 800;
constexpr std::size_t kBodyBytes = std::size_t{1024} * 1024;
// Connections of each kind where all kinds come at once.
constexpr std::size_t kOfEachTogether = 20;

std::string Head(std::string_view path, std::string_view more = {}) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " +
         std::string(kTestCredential) + "\r\n" + std::string(more);
}

// A chat request of about this size.
std::string LongPrompt(std::size_t bytes) {
  return WithBody(Head("/v1/chat/completions"),
                  ChatBody(std::string(bytes, 'x'), 10, true));
}

// A request to no known service whose messages are as many small values as fit.
std::string ManyValues() {
  std::string body = R"({"model":"none","messages":[0)";
  while (body.size() < kBodyBytes - 4) {
    body += ",0";
  }
  return WithBody(Head("/v1/chat/completions"), body + "]}");
}

// A call whose identity is looked for among as many members as fit.
std::string ManyMembers() {
  std::string body = R"({"artist":"a","date":1)";
  while (body.size() < kBodyBytes - 8) {
    body += R"(,"":0)";
  }
  return WithBody(Head("/s/deposit/refused"), body + "}");
}

std::vector<client_play> Plays() {
  constexpr std::size_t kSenders = 50;
  constexpr std::size_t kUploads = 150;
  constexpr milliseconds kPause{20};
  std::vector<misbehaviour> all = Misbehaviours(
      {Head("/s/lookup/held"), Head("/s/lookup/large")}, kBodyBytes);
  all.push_back({"send whole bodies of calls that run once",
                 kUploads,
                 {WithBody(Head("/s/deposit/held", "Idempotency-Key: k\r\n"),
                           std::string(kBodyBytes, 'x'))}});
  all.push_back({"send long prompts that no engine answers",
                 kUploads,
                 {LongPrompt(kBodyBytes - 1000)}});
  all.push_back({"send long prompts, go and come again",
                 kSenders,
                 {LongPrompt(kBodyBytes / 4), {}, 0, milliseconds(0), kPause}});
  all.push_back({"send prompts of many small values, go and come again",
                 kSenders,
                 {ManyValues(), {}, 0, milliseconds(0), kPause}});
  all.push_back({"send calls of many small members, go and come again",
                 kSenders,
                 {ManyMembers(), {}, 0, milliseconds(0), kPause}});
  return MakePlays(std::move(all), kOfEachTogether);
}

std::string Answer(std::string_view status, std::string_view body) {
  return "HTTP/1.1 " + std::string(status) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

// Answers calls by their path; calls to a path with "held" get no answer.
scripted_answer AnswerService(std::string_view head) {
  const std::string_view line = head.substr(0, head.find("\r\n"));
  if (line.find("/held") != line.npos) {
    return {};
  }
  if (line.find("/refused") != line.npos) {
    return {Answer("400 Bad Request", "")};
  }
  return {Answer("200 OK", line.find("/large") == line.npos
                               ? "ok"
                               : std::string(1'000'000, 'y'))};
}

// Neither a workspace's share nor the expected load of an upstream refuses the
// clients, so that only the limits of the process do.
constexpr std::string_view kNoOtherLimits =
    R"({"services":{"plan":{"first_token_ms":30000}},
        "upstreams":{"engine-1":{"slots":1000},"service-2":{"slots":1000}},
        "limits":{"open_requests_per_workspace":100000}})";

// Starts the entry instance "e1" with the lowered limits, and what it needs
// beside these upstreams. Returns its port.
std::uint16_t StartEntry(local_system& system,
                         const std::vector<std::uint16_t>& engines,
                         std::uint16_t service) {
  system.Start("objects", "standins/standin_objects");
  const std::uint16_t port = system.StartEntry("e1", "zone-a", kSettings);
  system.WriteConfiguration("10-all.json",
                            TestConfiguration(engines, {service}));
  if (!engines.empty()) {
    system.WriteConfiguration("20-limits.json", kNoOtherLimits);
  }
  REQUIRE(system.PublishConfiguration() == 0);
  REQUIRE(system.AwaitReady("e1"));
  return port;
}

caller_answer CallOnce(std::uint16_t port) {
  return Call(port, verb::get, "/s/lookup/1");
}

bool IsServed(std::uint16_t port) {
  return CallOnce(port).status == 200;
}

// The end of what a process has printed.
std::string LogEnd(const child_process& process) {
  constexpr std::size_t kBytes = 4'000;
  const std::string output = process.Output();
  return output.substr(output.size() - std::min(output.size(), kBytes));
}

}  // namespace

SCENARIO("Clients that break the protocol cost an entry instance no more",
         "[client_memory]") {
  for (const client_play& play : Plays()) {
    GIVEN("connections that " + play.name) {
      // An engine that refuses prompts, except those near the limit, which it
      // does not answer.
      const scripted_engine engine([](std::string_view head) {
        const std::string length(HeaderOf(head, "Content-Length"));
        return length.size() == std::to_string(kBodyBytes - 1).size()
                   ? scripted_answer()
                   : scripted_answer{Answer("400 Bad Request", "")};
      });
      const scripted_engine service(AnswerService);
      local_system system;
      const std::uint16_t port =
          StartEntry(system, {engine.port()}, service.port());
      child_process& process = system.process("e1");

      std::vector<std::unique_ptr<client_crowd>> crowds;
      process_peak peak = PlayClients(crowds, play.clients, port, process);

      THEN("an ordinary call is answered, within memory and descriptors") {
        caller_answer last;
        const bool answered = Eventually(
            [&] {
              last = CallOnce(port);
              return last.status == 200;
            },
            seconds(20));
        CAPTURE(last.status, last.body, LogEnd(process));
        peak.Update(process);
        // Printed for the table in docs/design/memory-account.md.
        std::printf("%s: peak %zu KB, %zu descriptors\n", play.name.c_str(),
                    peak.memory_kb, peak.descriptors);
        CHECK(answered);
        CHECK(peak.descriptors > 0);
        CHECK(peak.descriptors < kDescriptors);
        CHECK(peak.memory_kb > 0);
        if (!kSanitized) {
          CHECK(peak.memory_kb < kMemoryKb);
        }
      }
    }
  }
}

SCENARIO("Requests that have ended hold no memory", "[client_memory]") {
  GIVEN("an entry instance with an engine and a service") {
    const scripted_engine service(AnswerService);
    local_system system;
    const std::uint16_t engine =
        system.Start("engine", "standins/standin_engine",
                     {"--first-token-us", "100", "--token-interval-us", "20"});
    const std::uint16_t port = StartEntry(system, {engine}, service.port());
    WHEN("prompts and bodies of several sizes have been answered") {
      for (const std::size_t size : {1, 4'000, 20'000, 300'000, 1'000'000}) {
        CAPTURE(size);
        const std::string text(size, 'x');
        for (const bool stream : {true, false}) {
          CHECK(Call(port, verb::post, "/v1/chat/completions",
                     ChatBody(text, 5, stream))
                    .status == 200);
        }
        CHECK(Call(port, verb::post, "/s/lookup/1", text).status == 200);
        CHECK(Call(port, verb::post, "/s/lookup/large", text).status == 200);
      }
      THEN("all memory has been given back") {
        const auto metrics = [&] {
          return Call(system.admin_port("e1"), verb::get, "/metrics").body;
        };
        CHECK(Eventually(
            [&] {
              return metrics().find("anvilloom_request_memory_bytes 0\n") !=
                     std::string::npos;
            },
            seconds(10)));
        CHECK(metrics().find("anvilloom_answer_memory_bytes 0\n") !=
              std::string::npos);
      }
    }
  }
}

SCENARIO("Clients of the admin port cost an entry instance no more",
         "[client_memory]") {
  GIVEN("connections that stop a byte short of a body at the limit") {
    const scripted_engine service(AnswerService);
    local_system system;
    const std::uint16_t port = StartEntry(system, {}, service.port());
    child_process& process = system.process("e1");
    std::vector<std::unique_ptr<client_crowd>> crowds;
    std::string body = WithBody(Head("/dump"), std::string(kBodyBytes, 'x'));
    body.pop_back();
    PlayClients(crowds, {{"stop", 150, {std::move(body)}}},
                system.admin_port("e1"), process);
    THEN("an ordinary call is answered, within memory") {
      CHECK(Eventually([&] { return IsServed(port); }, seconds(20)));
      std::printf("send bodies to the admin port: peak %zu KB\n",
                  process.PeakMemoryKb());
      CHECK(process.PeakMemoryKb() > 0);
      if (!kSanitized) {
        CHECK(process.PeakMemoryKb() < kMemoryKb);
      }
    }
  }
}

SCENARIO("Clients that read no event of a long stream cost no more",
         "[client_memory]") {
  GIVEN("a stream of 30,000 tokens that has ended") {
    constexpr std::uint32_t kTokens = 30'000;
    constexpr std::size_t kReaders = 300;
    local_system system;
    const std::uint16_t engine =
        system.Start("engine", "standins/standin_engine",
                     {"--first-token-us", "1000", "--token-interval-us", "20"});
    const scripted_engine service(AnswerService);
    const std::uint16_t port = StartEntry(system, {engine}, service.port());
    const caller_answer streamed =
        Call(port, verb::post, "/v1/chat/completions",
             ChatBody("a", kTokens, true), {}, 60'000);
    REQUIRE(streamed.status == 200);
    REQUIRE(streamed.body.ends_with("data: [DONE]\n\n"));
    const std::string id =
        streamed.body.substr(4, streamed.body.find(':', 4) - 4);
    child_process& process = system.process("e1");

    WHEN("connections ask for it again and read nothing") {
      std::vector<std::unique_ptr<client_crowd>> crowds;
      PlayClients(crowds,
                  {{"ask",
                    kReaders,
                    {"GET /v1/streams/" + id +
                     " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " +
                     std::string(kTestCredential) + "\r\n\r\n"}}},
                  port, process);
      THEN("an ordinary call is answered, within memory") {
        CHECK(Eventually([&] { return IsServed(port); }, seconds(20)));
        std::printf("ask for a long stream and read nothing: peak %zu KB\n",
                    process.PeakMemoryKb());
        CHECK(process.PeakMemoryKb() > 0);
        if (!kSanitized) {
          CHECK(process.PeakMemoryKb() < kMemoryKb);
        }
      }
    }
  }
}

}  // namespace anvilloom
