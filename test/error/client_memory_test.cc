// Guards against clients that break the protocol and take a process beyond the
// memory or the descriptors of its machine, or make it end or hang. Checks no
// times, only that the process lives within its bounds and still answers.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "test/support/misbehaving_clients.h"
#include "test/support/platform_system.h"
#include "test/support/sanitizer.h"
#include "test/support/scripted_engine.h"

namespace anvilloom {

namespace {

using std::chrono::seconds;

// The lowered limits: the settings of the process and those of the manifest.
// With these descriptors the gateway holds 400 connections of clients.
constexpr std::string_view kSettings =
    R"(,"memory_mb":64,"descriptors":800,"threads":2)";
constexpr std::size_t kMemoryKb = 64'000'000 / 1024;
constexpr std::size_t kDescriptors = 800;
constexpr std::uint32_t kBodyBytes = 1024 * 1024;
// Longer than the test: the connections stay unless the gateway closes them.
constexpr std::uint32_t kHeaderTimeoutMs = 30'000;
// Connections of each kind where all kinds come at once.
constexpr std::size_t kOfEachTogether = 30;

std::string Head(std::string_view path, std::string_view more) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: held\r\n"
         "X-Deadline-Ms: 6000\r\nAuthorization: Token key-1\r\n" +
         std::string(more);
}

std::string Answer(std::string_view head, std::string_view body) {
  return "HTTP/1.1 200 OK\r\n" + IdLine(head) +
         "X-Response-Signature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}  // namespace

SCENARIO("Clients that break the protocol cost no more than the machine has",
         "[client_memory]") {
  const std::vector<client_play> plays = MakePlays(
      Misbehaviours(
          {Head("/single/1", ""), Head("/single/1", "X-Large: 1\r\n")},
          kBodyBytes),
      kOfEachTogether);
  for (const client_play& play : plays) {
    GIVEN("connections that " + play.name) {
      platform_system system;
      system.PutManifest({"key-1"}, 0, {8192, kBodyBytes, kHeaderTimeoutMs});
      const std::uint16_t port = system.StartGateway("g1", 0, kSettings);
      REQUIRE(system.AwaitReady("g1"));
      const std::string large(1'000'000, 'y');
      // Answers ordinary calls, and calls for a large answer.
      scripted_engine engine([&](std::string_view head) {
        const bool held = HeaderOf(head, "X-Request-Id") == "held";
        if (!held) {
          return scripted_answer{Answer(head, "ok")};
        }
        return scripted_answer{HeaderOf(head, "X-Large").empty()
                                   ? std::string()
                                   : Answer(head, large)};
      });
      system.Announce("e1", "desk", engine.port());
      REQUIRE(system.AwaitUpstreams("g1", 1));
      child_process& process = system.process("g1");

      std::vector<std::unique_ptr<client_crowd>> crowds;
      process_peak peak = PlayClients(crowds, play.clients, port, process);

      THEN("an ordinary call is answered, within memory and descriptors") {
        const bool answered = Eventually(
            [&] { return system.CallOnce(port, "/single/1").status == 200; },
            seconds(20));
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

}  // namespace anvilloom
