// Measures the memory and processor time that the configuration and the
// topology cost an entry instance at several numbers of engines, for
// docs/CAPACITY.md.

#include <malloc.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "common/hash.h"
#include "links/topology.h"
#include "wire/configuration_json.h"

namespace {

namespace json = boost::json;

constexpr std::uint32_t kDomains = 23;
constexpr std::uint32_t kRegions = 7;
constexpr std::uint32_t kWorkspaces = 50;
constexpr std::uint32_t kServices = 20;
constexpr int kRepeats = 20;

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

std::string Numbered(const char* prefix, std::uint32_t number) {
  return prefix + std::to_string(number);
}

std::string EnvironmentFile() {
  json::object domains;
  for (std::uint32_t i = 0; i < kDomains; ++i) {
    domains[Numbered("zone-", i)] = {
        {"region", Numbered("region-", i % kRegions)}};
  }
  json::object workspaces;
  for (std::uint32_t i = 0; i < kWorkspaces; ++i) {
    workspaces[Numbered("workspace-", i)] = {
        {"credential_sha256", anvilloom::Sha256Hex(std::to_string(i))},
        {"tokens_per_second", 1000}};
  }
  json::object services;
  for (std::uint32_t i = 0; i < kServices; ++i) {
    services[Numbered("service-", i)] = {{"kind", "model"},
                                         {"model", Numbered("model-", i)}};
  }
  return json::serialize(json::value{{"failure_domains", domains},
                                     {"workspaces", workspaces},
                                     {"services", services}});
}

// Makes one file for the environment and one for each failure domain, which is
// how operators split their configuration.
std::vector<anvilloom::configuration_file> MakeFiles(std::uint32_t engines) {
  std::vector<json::object> by_domain(kDomains);
  for (std::uint32_t i = 0; i < engines; ++i) {
    by_domain[i % kDomains][Numbered("engine-", i)] = {
        {"address", "10.0." + std::to_string(i / 250) + "." +
                        std::to_string(i % 250 + 1) + ":9000"},
        {"failure_domain", Numbered("zone-", i % kDomains)},
        {"machine_class", "gpu-small"},
        {"price_per_hour_micros", 900'000},
        {"reclaimable", true},
        {"slots", 16},
        {"services", json::array{Numbered("service-", i % kServices)}}};
  }
  std::vector<anvilloom::configuration_file> files;
  files.push_back({"10-environment.json", EnvironmentFile()});
  for (std::uint32_t i = 0; i < kDomains; ++i) {
    const std::string name = Numbered("20-zone-", i) + ".json";
    files.push_back(
        {name, json::serialize(json::value{{"upstreams", by_domain[i]}})});
  }
  return files;
}

std::size_t TextBytes(const std::vector<anvilloom::configuration_file>& files) {
  std::size_t bytes = 0;
  for (const auto& file : files) {
    bytes += file.text.size();
  }
  return bytes;
}

void Measure(std::uint32_t engines) {
  const auto files = MakeFiles(engines);
  const std::size_t heap_before = HeapBytes();
  auto current_topology =
      anvilloom::topology_builder()
          .Configuration(*anvilloom::DecodeConfiguration(files, 1))
          .Build();
  const std::size_t heap_after = HeapBytes();
  const double begin = ProcessorSeconds();
  for (int i = 0; i < kRepeats; ++i) {
    const auto decoded = anvilloom::DecodeConfiguration(files, 2);
    current_topology = anvilloom::topology_builder()
                           .Configuration(*decoded)
                           .ReuseLinksAndAccounts(*current_topology)
                           .Build();
  }
  const double per_change = (ProcessorSeconds() - begin) / kRepeats;
  std::printf(
      "%5u engines: %7zu bytes of files in %zu files, %8zu bytes of topology "
      "and links, %.3f ms of processor time for each change\n",
      engines, TextBytes(files), files.size(), heap_after - heap_before,
      per_change * 1e3);
}

}  // namespace

int main() {
  for (const std::uint32_t engines : {180U, 450U, 900U, 1800U}) {
    Measure(engines);
  }
  return 0;
}
