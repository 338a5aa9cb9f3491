#include "review/programs-3/entry_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <utility>

#include "review/programs-3/caller.h"

namespace review {

namespace {

constexpr rlim_t kDescriptors = 4100;

// Returns ports of 127.0.0.1 that are free now. They lie below those that the
// kernel gives to outgoing connections, which could take them meanwhile.
std::vector<std::uint16_t> FreePorts(std::size_t count) {
  using tcp = boost::asio::ip::tcp;
  constexpr std::uint16_t kFirst = 12000;
  constexpr std::uint16_t kLast = 31000;
  static std::mt19937 random(std::random_device{}());
  // Those of the other processes may not be in use yet.
  static std::set<std::uint16_t> given;
  std::uniform_int_distribution<std::uint16_t> draw(kFirst, kLast);
  boost::asio::io_context context;
  std::vector<std::uint16_t> ports;
  while (ports.size() < count) {
    const std::uint16_t port = draw(random);
    boost::system::error_code error;
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4(), error);
    acceptor.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port),
                  error);
    if (!error && given.insert(port).second) {
      ports.push_back(port);
    }
  }
  return ports;
}

}  // namespace

entry_process::entry_process(std::string command,
                             std::string folder,
                             entry_place place)
    : command_(std::move(command)),
      folder_(std::move(folder)),
      place_(std::move(place)),
      ports_(FreePorts(4)) {}

void entry_process::WriteSettings() const {
  const auto address = [this](std::size_t index) {
    return "\"127.0.0.1:" + std::to_string(ports_[index]) + "\"";
  };
  // The values of a small installation.
  std::ofstream(folder_ + "/" + place_.name + ".json")
      << R"({"name":")" << place_.name << R"(","failure_domain":")"
      << place_.zone << R"(","listen":)" << address(0) << R"(,"ready_listen":)"
      << address(1) << R"(,"admin_listen":)" << address(2)
      << R"(,"report_listen":)" << address(3) << R"(,"store":")" << place_.store
      << R"(","cloud":")" << place_.cloud
      << R"(","threads":1,"descriptors":4100,"memory_mb":260,)"
      << R"("stop_limit_s":8,"lease_ms":3000,"usage_window_s":5,)"
      << R"("usage_due_s":10,"retry_share":0.2,"retry_extra":54,)"
      << R"("retry_window_s":10,"manifest_apply_ms":2000,)"
      << R"("upstream_drain_ms":2000,"store_trouble_ms":5000})";
}

void entry_process::Start() {
  WriteSettings();
  const std::string settings = folder_ + "/" + place_.name + ".json";
  const std::string output = folder_ + "/" + place_.name + ".log";
  std::vector<std::string> words;
  std::istringstream text(command_);
  for (std::string word; text >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  process_ = ::fork();
  if (process_ == 0) {
    // The process ends with the thread that started it, also if this program
    // is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
        ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    // The platform limits the descriptors of each process.
    const rlimit descriptors{kDescriptors, kDescriptors};
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    ::setenv("ANVILLOOM_CONFIG", settings.c_str(), 1);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
}

void entry_process::Kill() {
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
  }
}

void entry_process::Restart() {
  ::kill(process_, SIGTERM);
  ::waitpid(process_, nullptr, 0);
  Start();
}

bool entry_process::IsReady() const {
  caller_request request;
  request.method = "GET";
  request.path = "/readyz";
  return Call(ports_[1], request).status == 200;
}

}  // namespace review
