// Runs the fault soak: starts gateways and stand-ins as processes, injects
// faults into connections and processes, and checks the calls and their
// executions. Exits with 1 if a guarantee was violated.

#include <signal.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "common/random.h"
#include "soak/callers.h"
#include "soak/fault_proxy.h"
#include "soak/history.h"
#include "test/support/platform_system.h"

namespace anvilloom::soak {

namespace {

struct soak_settings {
  std::uint64_t seed = 1;
  int seconds = 20;
  std::size_t gateways = 3;
  std::size_t models = 3;
  std::size_t desks = 2;
  std::size_t threads = 6;
};

// Time between the injection of two faults. Proxy, pause and drain faults last
// a random multiple of it.
constexpr std::chrono::milliseconds kFaultInterval{400};
// Time within which every gateway must serve again after the last fault.
constexpr std::chrono::seconds kRecoveryLimit{8};
constexpr double kMaxCallDurationS = 6.5;

// Returns the time in the format of the gateways' logs.
std::string WallClockText() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto fraction = now - std::chrono::floor<std::chrono::seconds>(now);
  std::tm parts{};
  localtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%FT%T.") << std::setw(3) << std::setfill('0')
       << std::chrono::floor<std::chrono::milliseconds>(fraction).count();
  return text.str();
}

class soak_run {
 public:
  explicit soak_run(const soak_settings& settings)
      : settings_(settings),
        random_(settings.seed),
        work_guard_(proxies_context_.get_executor()),
        proxies_thread_([this] { proxies_context_.run(); }),
        ports_(settings.gateways) {
    StartAll();
  }

  ~soak_run() {
    work_guard_.reset();
    proxies_context_.stop();
  }

  std::vector<violation> Run() {
    {
      callers load(ports_, settings_.seed, settings_.threads, calls_);
      const auto end = std::chrono::steady_clock::now() +
                       std::chrono::seconds(settings_.seconds);
      while (std::chrono::steady_clock::now() < end) {
        InjectFault();
        std::this_thread::sleep_for(kFaultInterval);
      }
      ClearProxyFaults();
      violations_ = CheckRecovery();
      load.Stop();
    }
    AddViolations(
        CheckCalls(calls_.Records(), pauses_, Runs(), kMaxCallDurationS));
    AddViolations(
        CheckDuties(Call(system_.port("platform"),
                         boost::beast::http::verb::get, "/standin/duties")
                        .body));
    return violations_;
  }

  // The times in which gateways were paused, one line each, to compare them
  // with the lines of the logs.
  std::string_view pause_lines() const { return pause_lines_; }

  std::string Summary() const {
    std::map<unsigned, std::size_t> by_status;
    for (const call_record& call : calls_.Records()) {
      ++by_status[call.status];
    }
    std::ostringstream text;
    text << "calls by status:";
    for (const auto& [status, count] : by_status) {
      text << ' ' << status << '=' << count;
    }
    text << "; faults:";
    for (const auto& [name, count] : faults_) {
      text << ' ' << name << '=' << count;
    }
    return text.str();
  }

  std::string LogLinesContaining(std::string_view id) {
    std::string lines;
    for (const std::string& gateway : gateway_names_) {
      std::istringstream output(output_before_restart_[gateway] +
                                system_.process(gateway).Output());
      for (std::string line; std::getline(output, line);) {
        if (line.find(id) != std::string::npos) {
          lines += gateway;
          lines += ": ";
          lines += line;
          lines += '\n';
        }
      }
    }
    return lines;
  }

 private:
  std::string GatewayName(std::size_t index) const {
    return "g" + std::to_string(index + 1);
  }

  void StartAll() {
    system_.PutManifest();
    // From now on, the store tells its era.
    ControlStore("/standin/copy");
    store_proxy_ = std::make_unique<fault_proxy>(proxies_context_,
                                                 system_.port("platform"));
    for (std::size_t i = 0; i < settings_.models + settings_.desks; ++i) {
      const bool model = i < settings_.models;
      const std::string id = (model ? "m" : "d") + std::to_string(i + 1);
      const std::string service = model ? "model" : "desk";
      const std::uint16_t port =
          system_.StartUpstream(id, service, {"--slots", "16"});
      upstream_proxies_.push_back(
          std::make_unique<fault_proxy>(proxies_context_, port));
      system_.Announce(id, service, upstream_proxies_.back()->port());
      upstreams_.push_back({id, service, upstream_proxies_.back()->port()});
    }
    for (std::size_t i = 0; i < settings_.gateways; ++i) {
      gateway_names_.push_back(GatewayName(i));
      StartGateway(i);
    }
    for (const std::string& name : gateway_names_) {
      system_.AwaitReady(name);
    }
  }

  void StartGateway(std::size_t index) {
    ports_[index].store(
        system_.StartGateway(GatewayName(index), store_proxy_->port()));
  }

  // Injects one random fault.
  void InjectFault() {
    switch (random_.NextBelow(10)) {
      case 0:
      case 1:
        InjectProxyFault("upstream connections", *RandomUpstreamProxy());
        break;
      case 2:
        InjectProxyFault("store connections", *store_proxy_);
        break;
      case 3:
        RestartGateway(true);
        break;
      case 4:
        RestartGateway(false);
        break;
      case 5:
        PauseGateway();
        break;
      case 6:
        ++faults_["manifest"];
        system_.PutManifest({"key-1", "key-" + std::to_string(random_.Next())});
        break;
      case 7:
        DrainUpstream();
        break;
      case 8:
        RecoverStore();
        break;
      default:
        InjectAnswerFault();
        break;
    }
  }

  fault_proxy* RandomUpstreamProxy() {
    return upstream_proxies_[random_.NextBelow(static_cast<std::uint32_t>(
                                 upstream_proxies_.size()))]
        .get();
  }

  void InjectProxyFault(const std::string& name, fault_proxy& proxy) {
    ++faults_[name];
    proxy.Set(static_cast<proxy_mode>(random_.NextBelow(5)));
    std::this_thread::sleep_for(kFaultInterval * random_.NextBelow(4));
    proxy.Set(proxy_mode::kPass);
  }

  std::size_t RandomGateway() {
    return random_.NextBelow(static_cast<std::uint32_t>(settings_.gateways));
  }

  void RestartGateway(bool planned) {
    ++faults_[planned ? "stopped" : "killed"];
    const std::size_t index = RandomGateway();
    child_process& process = system_.process(GatewayName(index));
    if (planned) {
      process.Signal(SIGTERM);
      // The port stays set until the process has ended, so that callers use
      // their open connections during the drain.
      process.Wait();
    } else {
      process.Kill();
    }
    ports_[index].store(0);
    output_before_restart_[GatewayName(index)] += process.Output();
    StartGateway(index);
  }

  void PauseGateway() {
    ++faults_["paused"];
    const std::size_t index = RandomGateway();
    const std::string name = GatewayName(index);
    child_process& process = system_.process(name);
    pause_lines_ += "pause: " + name + " from " + WallClockText();
    // Counted from before the signal to after it, so that a call that ends as
    // its gateway resumes is covered.
    process_pause pause{index, std::chrono::steady_clock::now(), {}};
    process.Pause();
    std::this_thread::sleep_for(kFaultInterval * (1 + random_.NextBelow(6)));
    process.Continue();
    pause.to = std::chrono::steady_clock::now();
    pauses_.push_back(pause);
    pause_lines_ += " to " + WallClockText() + '\n';
  }

  // Drains a random upstream and announces it again.
  void DrainUpstream() {
    ++faults_["drained"];
    const auto& [id, service, port] = upstreams_[random_.NextBelow(
        static_cast<std::uint32_t>(upstreams_.size()))];
    system_.Announce(id, service, port, "draining");
    std::this_thread::sleep_for(kFaultInterval * random_.NextBelow(3));
    system_.Withdraw(id);
    system_.Announce(id, service, port);
  }

  void ControlStore(std::string_view path) {
    Call(system_.port("platform"), boost::beast::http::verb::post, path, "{}");
  }

  // Replaces the store by a copy from before other faults. The operator and the
  // engines write again what the copy lacks.
  void RecoverStore() {
    ++faults_["store from a copy"];
    ControlStore("/standin/copy");
    std::this_thread::sleep_for(kFaultInterval * random_.NextBelow(4));
    if (random_.NextBelow(2) == 0) {
      PauseGateway();
    }
    ControlStore("/standin/recover");
    system_.PutManifest();
    for (const auto& [id, service, port] : upstreams_) {
      system_.Announce(id, service, port);
    }
  }

  void InjectAnswerFault() {
    ++faults_["faulty responses"];
    constexpr std::array<std::string_view, 6> kRules = {
        R"({"action":"refuse","count":5})",
        R"({"action":"drop_before","count":3})",
        R"({"action":"drop_after","count":3})",
        R"({"action":"truncate","after":4,"count":3})",
        R"({"action":"wrong_id","count":3})",
        R"({"action":"delay","delay_ms":700,"count":4})"};
    const auto& each = upstreams_[random_.NextBelow(
        static_cast<std::uint32_t>(upstreams_.size()))];
    system_.AddFault(each.id, kRules[random_.NextBelow(kRules.size())]);
  }

  void ClearProxyFaults() {
    store_proxy_->Set(proxy_mode::kPass);
    for (const auto& proxy : upstream_proxies_) {
      proxy->Set(proxy_mode::kPass);
    }
  }

  std::vector<violation> CheckRecovery() {
    std::vector<violation> violations;
    for (std::size_t i = 0; i < settings_.gateways; ++i) {
      const bool serves = Eventually(
          [&] {
            return system_
                       .CallOnce(ports_[i].load(), "/safe/x", "key-1",
                                 "recovery-" + std::to_string(probe_count_++))
                       .status == 200;
          },
          kRecoveryLimit);
      if (!serves) {
        violations.push_back(
            {"a gateway serves again after the faults", GatewayName(i), ""});
      }
    }
    return violations;
  }

  // Reads the executions from the output of the upstreams, without the calls of
  // CheckRecovery().
  std::map<std::string, std::vector<std::string>> Runs() {
    std::map<std::string, std::vector<std::string>> runs;
    for (const auto& each : upstreams_) {
      std::istringstream output(system_.process(each.id).Output());
      std::string word;
      std::string id;
      std::string workspace;
      for (std::string line; std::getline(output, line);) {
        std::istringstream parts(line);
        if (parts >> word >> id >> workspace && word == "ran" &&
            !id.starts_with("recovery-")) {
          runs[id].push_back(workspace);
        }
      }
    }
    return runs;
  }

  void AddViolations(std::vector<violation> more) {
    violations_.insert(violations_.end(), more.begin(), more.end());
  }

  struct started_upstream {
    std::string id;
    std::string service;
    std::uint16_t port = 0;
  };

  soak_settings settings_;
  split_mix random_;
  boost::asio::io_context proxies_context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::jthread proxies_thread_;
  platform_system system_;
  std::unique_ptr<fault_proxy> store_proxy_;
  std::vector<std::unique_ptr<fault_proxy>> upstream_proxies_;
  std::vector<started_upstream> upstreams_;
  std::vector<std::string> gateway_names_;
  std::map<std::string, std::string> output_before_restart_;
  std::vector<std::atomic<std::uint16_t>> ports_;
  history calls_;
  std::map<std::string, std::size_t> faults_;
  std::vector<process_pause> pauses_;
  std::string pause_lines_;
  std::size_t probe_count_ = 0;
  std::vector<violation> violations_;
};

int RunSoak(const soak_settings& settings) {
  soak_run run(settings);
  const std::vector<violation> violations = run.Run();
  std::cout << "seed " << settings.seed << ": " << run.Summary() << '\n';
  for (const violation& each : violations) {
    std::cout << "violation: " << each.promise << ": " << each.id << ' '
              << each.detail << '\n'
              << run.LogLinesContaining(each.id);
  }
  if (!violations.empty()) {
    std::cout << run.pause_lines();
  }
  std::cout << (violations.empty() ? "no guarantee was violated\n"
                                   : "guarantees were violated\n");
  return violations.empty() ? 0 : 1;
}

}  // namespace

}  // namespace anvilloom::soak

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  anvilloom::soak::soak_settings settings;
  options::options_description all(
      "Usage: soak [OPTION...]\n\nRuns gateways under faults and checks their "
      "guarantees.\n\nOptions");
  all.add_options()("help", "Prints this text.")(
      "seed", options::value(&settings.seed), "Seed of the random faults.")(
      "seconds", options::value(&settings.seconds),
      "Duration of the faults, in seconds.")(
      "gateways", options::value(&settings.gateways), "Number of gateways.")(
      "models", options::value(&settings.models),
      "Number of streaming upstreams.")(
      "desks", options::value(&settings.desks), "Number of plain upstreams.")(
      "threads", options::value(&settings.threads),
      "Number of caller threads.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    return anvilloom::soak::RunSoak(settings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
