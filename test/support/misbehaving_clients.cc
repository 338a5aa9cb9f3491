#include "test/support/misbehaving_clients.h"

#include <algorithm>
#include <string_view>
#include <thread>
#include <utility>

#include "test/support/scripted_engine.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kUploads = 150;
constexpr std::size_t kConnections = 450;
// How long the connections may send before the figures are read. Connections
// that the process does not read from never finish.
constexpr seconds kSendTime{4};
constexpr milliseconds kFigureInterval{300};

std::string WithLength(std::string_view head, std::size_t bytes) {
  return std::string(head) + "Content-Length: " + std::to_string(bytes) +
         "\r\n\r\n";
}

std::string Repeat(std::string_view text, std::size_t times) {
  std::string result;
  result.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) {
    result += text;
  }
  return result;
}

}  // namespace

std::vector<misbehaviour> Misbehaviours(const call_heads& heads,
                                        std::size_t body_bytes) {
  constexpr std::size_t kMany = 1'000'000;
  // With the rest of the head below 8 KiB.
  constexpr std::size_t kShortFields = 1'500;
  const std::string& held = heads.held;
  const std::string chunked = held + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string quarter(body_bytes / 4, 'x');
  const std::string part(std::size_t{64} * 1024, 'x');
  const std::string unfinished =
      WithLength(held, body_bytes) + std::string(body_bytes - 1, 'x');
  return {
      {"announce bodies far over the limit",
       kUploads,
       {WithLength(held, std::size_t{100} * body_bytes), part, 160}},
      {"send chunked bodies past the limit",
       kUploads,
       {chunked, Chunk(quarter), 8}},
      {"stop a byte short of a body at the limit", kUploads, {unfinished}},
      {"stop before the last chunk of a body in large chunks",
       kUploads,
       {chunked, Chunk(quarter), 4}},
      {"stop before the last chunk of a body in one-byte chunks",
       kUploads,
       {chunked, Repeat("1\r\nx\r\n", 16'384), 16}},
      {"send whole bodies that no engine answers",
       kUploads,
       {WithBody(held, std::string(body_bytes, 'x'))}},
      {"send a body byte by byte",
       kConnections,
       {WithLength(held, body_bytes), "x", kMany, milliseconds(20)}},
      {"send a head line by line",
       kConnections,
       {"POST /single/1 HTTP/1.1\r\n", "X-More: " + part.substr(0, 80) + "\r\n",
        kMany, milliseconds(20)}},
      {"send a trailer without end",
       kUploads,
       {chunked + "1\r\nx\r\n0\r\n", "X-More: " + part.substr(0, 1000) + "\r\n",
        1000}},
      {"send a line of a trailer without end",
       kUploads,
       {chunked + "1\r\nx\r\n0\r\nX-More: ", part, 16}},
      {"send an extension of a chunk without end",
       kUploads,
       {chunked + "1;", part, 16}},
      {"send calls with many short fields that no engine answers",
       kConnections,
       {held + Repeat("a:\r\n", kShortFields) + "\r\n"}},
      {"pipeline requests and read no answer",
       kUploads,
       {"", Repeat(held + "\r\n", 100), 100}},
      {"ask for large answers and read nothing",
       kConnections,
       {heads.large + "\r\n"}},
      {"open and send nothing", kConnections, {""}},
      {"stop a byte short of a body, go and come again",
       kUploads,
       {unfinished, {}, 0, milliseconds(0), milliseconds(20)}},
  };
}

std::vector<client_play> MakePlays(std::vector<misbehaviour> kinds,
                                   std::size_t of_each) {
  std::vector<client_play> plays;
  client_play together{"do each of these at once", kinds};
  for (misbehaviour& each : together.clients) {
    each.connections = of_each;
  }
  for (misbehaviour& each : kinds) {
    const std::string name = each.name;
    plays.push_back({name, {std::move(each)}});
  }
  plays.push_back(std::move(together));
  return plays;
}

void process_peak::Update(const child_process& process) {
  memory_kb = process.PeakMemoryKb();
  descriptors = std::max(descriptors, process.OpenDescriptors());
}

std::string WithBody(std::string_view head, std::string_view body) {
  return WithLength(head, body.size()) + std::string(body);
}

process_peak PlayClients(std::vector<std::unique_ptr<client_crowd>>& crowds,
                         const std::vector<misbehaviour>& clients,
                         std::uint16_t port,
                         const child_process& process) {
  std::size_t connections = 0;
  for (const misbehaviour& each : clients) {
    connections += each.connections;
    crowds.push_back(
        std::make_unique<client_crowd>(port, each.connections, each.script));
  }
  // What has been sent arrives a moment later, so the figures are read until
  // the memory no longer grows.
  process_peak peak;
  const auto end = std::chrono::steady_clock::now() + kSendTime;
  const bool endless = std::ranges::any_of(clients, [](const auto& each) {
    return each.script.reconnects_after.has_value();
  });
  std::size_t settled = 0;
  bool growing = true;
  while ((growing || endless || settled < connections) &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kFigureInterval);
    const std::size_t before_kb = peak.memory_kb;
    peak.Update(process);
    growing = peak.memory_kb > before_kb;
    settled = 0;
    for (const auto& crowd : crowds) {
      settled += crowd->settled();
    }
  }
  return peak;
}

}  // namespace anvilloom
