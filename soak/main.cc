// The fault soak: runs gateways and stand-ins as processes, spoils connections
// and processes from outside, and checks what callers and upstreams saw. Exits
// with 1 if a promise was broken.

#include <signal.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/program_options.hpp>
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

struct soak_plan {
  std::uint64_t seed = 1;
  int seconds = 20;
  std::size_t gateways = 3;
  std::size_t models = 3;
  std::size_t desks = 2;
  std::size_t threads = 6;
};

// Faults that overlap; each is taken back after some steps.
constexpr std::chrono::milliseconds kStep{400};
// After the last fault, every gateway serves again within this time.
constexpr std::chrono::seconds kRecovery{8};
constexpr double kLongestCallS = 6.5;

class soak_run {
 public:
  explicit soak_run(const soak_plan& plan)
      : plan_(plan),
        draws_(plan.seed),
        guard_(proxies_context_.get_executor()),
        proxies_thread_([this] { proxies_context_.run(); }),
        ports_(plan.gateways) {
    StartAll();
  }

  ~soak_run() {
    guard_.reset();
    proxies_context_.stop();
  }

  std::vector<violation> Run() {
    {
      callers load(ports_, plan_.seed, plan_.threads, calls_);
      const auto end = std::chrono::steady_clock::now() +
                       std::chrono::seconds(plan_.seconds);
      while (std::chrono::steady_clock::now() < end) {
        Step();
        std::this_thread::sleep_for(kStep);
      }
      Heal();
      found_ = CheckRecovery();
      load.Stop();
    }
    Append(CheckCalls(calls_.Records(), Runs(), kLongestCallS));
    Append(CheckDuties(Call(system_.port("platform"),
                            boost::beast::http::verb::get, "/standin/duties")
                           .body));
    return found_;
  }

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

  std::string LogsOf(std::string_view id) {
    std::string lines;
    for (const std::string& gateway : gateway_names_) {
      std::istringstream output(earlier_output_[gateway] +
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
    store_proxy_ = std::make_unique<fault_proxy>(proxies_context_,
                                                 system_.port("platform"));
    for (std::size_t i = 0; i < plan_.models + plan_.desks; ++i) {
      const bool model = i < plan_.models;
      const std::string id = (model ? "m" : "d") + std::to_string(i + 1);
      const std::string service = model ? "model" : "desk";
      const std::uint16_t port =
          system_.StartUpstream(id, service, {"--slots", "16"});
      upstream_proxies_.push_back(
          std::make_unique<fault_proxy>(proxies_context_, port));
      system_.Announce(id, service, upstream_proxies_.back()->port());
      upstreams_.push_back({id, service, upstream_proxies_.back()->port()});
    }
    for (std::size_t i = 0; i < plan_.gateways; ++i) {
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

  // One random fault, or the end of one.
  void Step() {
    switch (draws_.NextBelow(9)) {
      case 0:
      case 1:
        SetProxy("upstream connections", *AnyUpstreamProxy());
        break;
      case 2:
        SetProxy("store connections", *store_proxy_);
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
        system_.PutManifest({"key-1", "key-" + std::to_string(draws_.Next())});
        break;
      case 7:
        Leave();
        break;
      default:
        Spoil();
        break;
    }
  }

  fault_proxy* AnyUpstreamProxy() {
    return upstream_proxies_[draws_.NextBelow(static_cast<std::uint32_t>(
                                 upstream_proxies_.size()))]
        .get();
  }

  void SetProxy(const std::string& name, fault_proxy& proxy) {
    ++faults_[name];
    proxy.Set(static_cast<proxy_mode>(draws_.NextBelow(5)));
    std::this_thread::sleep_for(kStep * draws_.NextBelow(4));
    proxy.Set(proxy_mode::kPass);
  }

  std::size_t AnyGateway() {
    return draws_.NextBelow(static_cast<std::uint32_t>(plan_.gateways));
  }

  void RestartGateway(bool planned) {
    ++faults_[planned ? "stopped" : "killed"];
    const std::size_t index = AnyGateway();
    child_process& process = system_.process(GatewayName(index));
    if (planned) {
      process.Signal(SIGTERM);
      // Callers use their open connections until the process is gone.
      process.Wait();
    } else {
      process.Kill();
    }
    ports_[index].store(0);
    earlier_output_[GatewayName(index)] += process.Output();
    StartGateway(index);
  }

  void PauseGateway() {
    ++faults_["paused"];
    child_process& process = system_.process(GatewayName(AnyGateway()));
    process.Pause();
    std::this_thread::sleep_for(kStep * (1 + draws_.NextBelow(6)));
    process.Continue();
  }

  // An upstream drains and comes back.
  void Leave() {
    ++faults_["drained"];
    const auto& [id, service, port] = upstreams_[draws_.NextBelow(
        static_cast<std::uint32_t>(upstreams_.size()))];
    system_.Announce(id, service, port, "draining");
    std::this_thread::sleep_for(kStep * draws_.NextBelow(3));
    system_.Withdraw(id);
    system_.Announce(id, service, port);
  }

  void Spoil() {
    ++faults_["spoiled answers"];
    constexpr std::array<std::string_view, 6> kRules = {
        R"({"action":"refuse","count":5})",
        R"({"action":"drop_before","count":3})",
        R"({"action":"drop_after","count":3})",
        R"({"action":"truncate","after":4,"count":3})",
        R"({"action":"wrong_id","count":3})",
        R"({"action":"delay","delay_ms":700,"count":4})"};
    const auto& each = upstreams_[draws_.NextBelow(
        static_cast<std::uint32_t>(upstreams_.size()))];
    system_.AddFault(each.id, kRules[draws_.NextBelow(kRules.size())]);
  }

  void Heal() {
    store_proxy_->Set(proxy_mode::kPass);
    for (const auto& proxy : upstream_proxies_) {
      proxy->Set(proxy_mode::kPass);
    }
  }

  std::vector<violation> CheckRecovery() {
    std::vector<violation> found;
    for (std::size_t i = 0; i < plan_.gateways; ++i) {
      const bool serves = Eventually(
          [&] {
            return system_
                       .CallOnce(ports_[i].load(), "/safe/x", "key-1",
                                 "recovery-" + std::to_string(probes_++))
                       .status == 200;
          },
          kRecovery);
      if (!serves) {
        found.push_back({"a gateway serves again", GatewayName(i), ""});
      }
    }
    return found;
  }

  // What the upstreams printed, without the probes above.
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

  void Append(std::vector<violation> more) {
    found_.insert(found_.end(), more.begin(), more.end());
  }

  struct started_upstream {
    std::string id;
    std::string service;
    std::uint16_t port = 0;
  };

  soak_plan plan_;
  split_mix draws_;
  boost::asio::io_context proxies_context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::jthread proxies_thread_;
  platform_system system_;
  std::unique_ptr<fault_proxy> store_proxy_;
  std::vector<std::unique_ptr<fault_proxy>> upstream_proxies_;
  std::vector<started_upstream> upstreams_;
  std::vector<std::string> gateway_names_;
  std::map<std::string, std::string> earlier_output_;
  std::vector<std::atomic<std::uint16_t>> ports_;
  history calls_;
  std::map<std::string, std::size_t> faults_;
  std::size_t probes_ = 0;
  std::vector<violation> found_;
};

int RunSoak(const soak_plan& plan) {
  soak_run run(plan);
  const std::vector<violation> found = run.Run();
  std::cout << "seed " << plan.seed << ": " << run.Summary() << '\n';
  for (const violation& each : found) {
    std::cout << "BROKEN: " << each.promise << ": " << each.id << ' '
              << each.detail << '\n'
              << run.LogsOf(each.id);
  }
  std::cout << (found.empty() ? "all promises kept\n" : "promises broken\n");
  return found.empty() ? 0 : 1;
}

}  // namespace

}  // namespace anvilloom::soak

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  anvilloom::soak::soak_plan plan;
  options::options_description all(
      "Usage: soak [OPTION...]\n\nRuns gateways under faults and checks their "
      "promises.\n\nOptions");
  all.add_options()("help", "Prints this text.")(
      "seed", options::value(&plan.seed), "Decides the faults.")(
      "seconds", options::value(&plan.seconds), "Time of the faults.")(
      "gateways", options::value(&plan.gateways), "Gateways.")(
      "models", options::value(&plan.models), "Upstreams that stream.")(
      "desks", options::value(&plan.desks), "Plain upstreams.")(
      "threads", options::value(&plan.threads), "Callers.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    return anvilloom::soak::RunSoak(plan);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
