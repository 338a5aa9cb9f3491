#include "review/programs-3/small_deployment.h"

#include <cstdlib>
#include <iostream>
#include <thread>

#include "review/programs-3/caller.h"

namespace review {

namespace {

// Two tenants without an allowance, and one plain service.
constexpr const char* kManifest =
    R"({"version":7,"routes":[{"name":"deposit","hostname":"studio.example",)"
    R"("pathPrefix":"/deposit/","routeType":"non_idempotent",)"
    R"("timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk",)"
    R"("maxAttempts":1,"anonymous":false}],"services":[{"name":"desk",)"
    R"("healthPath":"/healthz","maxConnections":100,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"salon","apiKeys":["salon-key"],"priority":1},)"
    R"({"name":"atelier","apiKeys":["atelier-key"],"priority":1}]})";

constexpr std::chrono::milliseconds kCheckInterval{20};
// heartbeatMs of the contracts.
constexpr std::chrono::milliseconds kHeartbeat{1200};

std::string NameOf(const char* prefix, std::size_t index) {
  return prefix + std::to_string(index + 1);
}

std::string ZoneOf(std::size_t index) {
  constexpr std::size_t kZones = 3;
  return NameOf("zone-", index % kZones);
}

}  // namespace

case_arguments ReadArguments(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "Usage: " << argv[0] << " COMMAND FOLDER RECORD TROUBLE\n";
    std::exit(2);
  }
  return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
}

small_deployment::small_deployment(const case_arguments& arguments,
                                   std::size_t entries,
                                   std::size_t engines,
                                   std::chrono::milliseconds work)
    : work_(work),
      record_(arguments.record),
      platform_([this](const std::string& entry, const std::string& id) {
        NoteRemoval(entry, id);
      }) {
  for (std::size_t i = 0; i < engines; ++i) {
    AddEngine();
  }
  platform_.Put("config", "main", kManifest);
  for (std::size_t i = 0; i < entries; ++i) {
    const std::string name = NameOf("entry-", i);
    entries_.push_back(std::make_unique<entry_process>(
        arguments.command, arguments.folder,
        entry_place{name, ZoneOf(i), platform_.StoreAddressFor(name),
                    platform_.cloud_address()}));
  }
}

std::size_t small_deployment::AddEngine() {
  const std::size_t index = engines_.size();
  engines_.push_back(std::make_unique<engine_stand_in>(
      "desk", NameOf("engine-", index), ZoneOf(index), work_,
      [this](const engine_stand_in& engine, const std::string& request) {
        NoteRun(engine.id(), request);
      }));
  platform_.Put("servers", engines_.back()->id(), engines_.back()->Entry());
  std::thread([this, engine = engines_.back().get()] {
    for (;;) {
      std::this_thread::sleep_for(kHeartbeat);
      if (engine->leaving()) {
        return;
      }
      engine->Beat();
      platform_.Refresh("servers", engine->id(), engine->Entry());
    }
  }).detach();
  return index;
}

void small_deployment::End() {
  for (const auto& entry : entries_) {
    entry->Kill();
  }
}

bool small_deployment::Start() {
  for (const auto& entry : entries_) {
    entry->Start();
  }
  const auto until = steady_clock::now() + std::chrono::seconds(10);
  std::size_t ready = 0;
  while (ready < entries_.size() && steady_clock::now() < until) {
    ready = 0;
    for (const auto& entry : entries_) {
      ready += entry->IsReady() ? 1 : 0;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  return ready == entries_.size();
}

void small_deployment::StartCallers(int per_second) {
  calling_ = true;
  std::thread([this, per_second] {
    const auto begin = steady_clock::now();
    for (std::size_t number = 0; calling_; ++number) {
      ++unanswered_;
      std::thread([this, number] {
        Send(number);
        --unanswered_;
      }).detach();
      std::this_thread::sleep_until(begin + std::chrono::microseconds(1000000) *
                                                (number + 1) / per_second);
    }
  }).detach();
}

void small_deployment::StopCallers() {
  calling_ = false;
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  while (unanswered_ > 0) {
    std::this_thread::sleep_for(kCheckInterval);
  }
}

void small_deployment::Send(std::size_t number) {
  const entry_process& entry = *entries_[number % entries_.size()];
  caller_request request;
  request.id = NameOf("request-", number);
  request.path = "/deposit/" + std::to_string(number);
  request.key = number % 2 == 0 ? "salon-key" : "atelier-key";
  request.body = "hold the date";
  {
    const std::scoped_lock lock(mutex_);
    sent_request& sent = requests_[request.id];
    sent.id = request.id;
    sent.entry = entry.name();
    sent.sent_at = steady_clock::now();
  }
  record_.Write("sent " + request.id + " to " + entry.name());
  const caller_answer answer = Call(entry.port(), request);
  record_.Write("answered " + request.id + " " + std::to_string(answer.status));
  const std::scoped_lock lock(mutex_);
  requests_[request.id].status = answer.status;
  requests_[request.id].answered = true;
}

void small_deployment::NoteRun(const std::string& engine,
                               const std::string& request) {
  record_.Write("ran " + request + " at " + engine);
  const std::scoped_lock lock(mutex_);
  requests_[request].engines.push_back(engine);
}

void small_deployment::NoteRemoval(const std::string& entry,
                                   const std::string& id) {
  const std::scoped_lock lock(mutex_);
  if (told_[id].emplace(entry, steady_clock::now()).second) {
    record_.Write("the store has told " + entry + " that " + id + " is gone");
  }
}

std::vector<sent_request> small_deployment::requests() const {
  const std::scoped_lock lock(mutex_);
  std::vector<sent_request> all;
  for (const auto& [id, request] : requests_) {
    all.push_back(request);
  }
  return all;
}

std::map<std::string, steady_clock::time_point>
small_deployment::told_of_removal(const std::string& id) const {
  const std::scoped_lock lock(mutex_);
  const auto found = told_.find(id);
  return found == told_.end()
             ? std::map<std::string, steady_clock::time_point>()
             : found->second;
}

}  // namespace review
