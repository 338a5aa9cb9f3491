// Guards callers against prompts of thousands of parts that keep the threads of
// an instance busy: the check of a call takes time in proportion to its parts,
// whatever is suspected. CPU time is measured instead of wall time, because the
// machine may be shared.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <vector>

#include "links/crash_suspects.h"
#include "test/support/thread_cpu_time.h"

namespace anvilloom {

namespace {

using std::chrono::seconds;

// The parts of a prompt whose header takes 16 KiB.
constexpr std::size_t kManyParts = 4096;
constexpr std::size_t kFewerParts = 512;
// A tenth of the target for the time between two tokens.
constexpr double kMaxCheckUs = 5'000;

std::vector<std::uint64_t> PartsFrom(std::uint64_t first, std::size_t count) {
  std::vector<std::uint64_t> parts;
  for (std::uint64_t i = 0; i < count; ++i) {
    parts.push_back(first + i);
  }
  return parts;
}

// Blocks the parts of a call together, by an end of an upstream every second.
void Block(crash_suspects& suspects,
           std::span<const std::uint64_t> parts,
           time_point& now) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    now += seconds(1);
    const std::uint64_t upstream = 10 * parts.front() + i;
    suspects.RecordCrash(parts, {upstream, upstream, now});
  }
}

// CPU time of one check of a call, the least of several measurements.
double CheckUs(const suspect_view& view,
               std::span<const std::uint64_t> parts,
               time_point now) {
  constexpr int kRuns = 20;
  double least = 1e9;
  for (int run = 0; run < kRuns; ++run) {
    const double start = ThreadCpuUs();
    const bool refused = view.BlockedUntil(parts, now).has_value();
    view.MustReportAnswer(parts);
    least = std::min(least, ThreadCpuUs() - start);
    REQUIRE(refused);
  }
  return least;
}

}  // namespace

SCENARIO("The check of a call takes time in proportion to its parts",
         "[suspect_cost]") {
  GIVEN("calls with few and with many parts that are blocked together") {
    crash_suspects suspects;
    time_point now;
    for (std::uint64_t other = 1; other <= 100; ++other) {
      Block(suspects, PartsFrom(1'000 * other, 10), now);
    }
    const auto few = PartsFrom(1'000'000, kFewerParts);
    const auto many = PartsFrom(2'000'000, kManyParts);
    Block(suspects, few, now);
    Block(suspects, many, now);
    const auto view = suspects.TakeView(0);

    THEN("eight times as many parts take at most sixteen times as long") {
      const double few_us = CheckUs(*view, few, now);
      const double many_us = CheckUs(*view, many, now);
      std::cout << kFewerParts << " parts: " << few_us << " us, " << kManyParts
                << " parts: " << many_us << " us\n";
      REQUIRE(many_us <= 16 * few_us);
      REQUIRE(many_us <= kMaxCheckUs);
    }
  }
}

}  // namespace anvilloom
