// Sends the same load directly to an upstream and through an entry instance,
// and prints the latency and processor time that the entry instance adds.

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>

#include "tools/load_phase.h"
#include "tools/process_usage.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct load_options {
  anvilloom::load_spec spec;
  std::string direct;
  std::string through;
  std::string direct_path;
  pid_t entry_pid = 0;
  std::uint32_t rounds = 3;
};

// Adds the outcome of one round to the total.
void Add(anvilloom::load_outcome& total,
         const anvilloom::load_outcome& round_result) {
  total.completed += round_result.completed;
  total.failed += round_result.failed;
  total.tokens += round_result.tokens;
  total.seconds += round_result.seconds;
  total.latencies.insert(total.latencies.end(), round_result.latencies.begin(),
                         round_result.latencies.end());
  total.token_intervals.insert(total.token_intervals.end(),
                               round_result.token_intervals.begin(),
                               round_result.token_intervals.end());
}

void PrintOutcome(const char* label, anvilloom::load_outcome& outcome) {
  using anvilloom::Quantile;
  std::printf(
      "%-8s completed %llu, failed %llu, %.1f/s, %.0f tokens/s; "
      "latency p50 %.0f us, p99 %.0f us; token interval p50 %.0f us, "
      "p95 %.0f us, p99 %.0f us\n",
      label, static_cast<unsigned long long>(outcome.completed),
      static_cast<unsigned long long>(outcome.failed),
      static_cast<double>(outcome.completed) / outcome.seconds,
      static_cast<double>(outcome.tokens) / outcome.seconds,
      Quantile(outcome.latencies, 0.5), Quantile(outcome.latencies, 0.99),
      Quantile(outcome.token_intervals, 0.5),
      Quantile(outcome.token_intervals, 0.95),
      Quantile(outcome.token_intervals, 0.99));
}

void PrintOverhead(anvilloom::load_outcome& direct,
                   anvilloom::load_outcome& through,
                   double cpu_seconds) {
  using anvilloom::Quantile;
  std::printf(
      "added latency: p50 %.0f us, p99 %.0f us\n",
      Quantile(through.latencies, 0.5) - Quantile(direct.latencies, 0.5),
      Quantile(through.latencies, 0.99) - Quantile(direct.latencies, 0.99));
  if (cpu_seconds <= 0) {
    return;
  }
  std::printf("entry instance: %.3f processor seconds, %.1f%% of a core; ",
              cpu_seconds, 100 * cpu_seconds / through.seconds);
  std::printf("%.0f requests and %.0f tokens per second of a core\n",
              static_cast<double>(through.completed) / cpu_seconds,
              static_cast<double>(through.tokens) / cpu_seconds);
}

int Measure(const load_options& settings) {
  anvilloom::load_outcome direct;
  anvilloom::load_outcome through;
  double cpu_seconds = 0;
  for (std::uint32_t round = 0; round < settings.rounds; ++round) {
    anvilloom::load_spec spec = settings.spec;
    spec.address = settings.direct;
    spec.path = settings.direct_path;
    Add(direct, anvilloom::RunLoad(spec));
    spec = settings.spec;
    spec.address = settings.through;
    const auto before = anvilloom::ReadProcessUsage(settings.entry_pid);
    Add(through, anvilloom::RunLoad(spec));
    const auto after = anvilloom::ReadProcessUsage(settings.entry_pid);
    if (before && after) {
      cpu_seconds += after->cpu_seconds - before->cpu_seconds;
    }
  }
  PrintOutcome("direct", direct);
  PrintOutcome("through", through);
  PrintOverhead(direct, through, cpu_seconds);
  return direct.failed + through.failed == 0 ? 0 : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  load_options settings;
  options::options_description all(
      "Usage: load_generator --direct ADDRESS --through ADDRESS [options]\n\n"
      "With --tokens 0 it sends plain calls, otherwise streams.\n\nOptions");
  all.add_options()("help", "Prints this text.")(
      "direct", options::value(&settings.direct)->required(),
      "IP address and port of the upstream.")(
      "through", options::value(&settings.through)->required(),
      "IP address and port of the entry instance.")(
      "entry-pid", options::value(&settings.entry_pid)->default_value(0),
      "Process id of the entry instance, to read its processor time.")(
      "credential",
      options::value(&settings.spec.credential)
          ->default_value("example-credential"),
      "Credential of a workspace.")(
      "direct-path", options::value(&settings.direct_path)->default_value("/x"),
      "Target of plain calls at the upstream.")(
      "path",
      options::value(&settings.spec.path)->default_value("/s/slot-check/x"),
      "Target of plain calls at the entry instance.")(
      "service",
      options::value(&settings.spec.service)->default_value("styling-plan"),
      "Service of the streams.")(
      "concurrency",
      options::value(&settings.spec.concurrency)->default_value(1),
      "Concurrent clients.")(
      "repeats", options::value(&settings.spec.repeats)->default_value(100),
      "Calls or streams for each client and round.")(
      "tokens", options::value(&settings.spec.tokens)->default_value(0),
      "Tokens of each stream.")(
      "rounds", options::value(&settings.rounds)->default_value(3),
      "Rounds; each sends the load directly and "
      "through the entry instance.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& failure) {
    std::cerr << "The command line is not valid: " << failure.what() << ".\n";
    return kExitUsage;
  }
  return Measure(settings);
}
