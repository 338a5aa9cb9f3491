// The entry instances are stopped and started in turn, and the store comes back
// from a copy some seconds old meanwhile. Exits with 1 if the platform accepts
// two usage reports for one window with different counts.

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "review/programs-3/small_deployment.h"

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 3;
constexpr std::size_t kEngines = 3;
constexpr milliseconds kWork{60};
constexpr int kRequestsPerSecond = 60;
// Longer than contactMs, and than it takes to find the holder of the duty.
constexpr seconds kCalm{7};
constexpr std::int64_t kWindowMs = 5000;

// Times from the end of a window. Its usage is reported about 1.6 seconds after
// its end, before the drill. The processes take 2.6 seconds to end.
constexpr milliseconds kCopy{-1000};
constexpr milliseconds kFirstRestart{-2100};
constexpr milliseconds kSecondRestart{-100};
constexpr milliseconds kThirdRestart{1900};
constexpr milliseconds kDrill{3600};
constexpr milliseconds kAway{300};
// Usage is due ten seconds after the end of its window.
constexpr milliseconds kEnd{16000};

// Sleeps until `offset` from the end of a window.
void SleepUntil(std::int64_t window, milliseconds offset) {
  const std::chrono::system_clock::time_point end(
      milliseconds((window + 1) * kWindowMs));
  std::this_thread::sleep_until(end + offset);
}

std::int64_t WindowAt(std::chrono::system_clock::time_point time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
             .count() /
         kWindowMs;
}

// Returns the indices of the entry instances, that of the holder last.
std::vector<std::size_t> HolderLast(review::small_deployment& deployment) {
  const auto duties = deployment.platform().duties();
  std::vector<std::size_t> order;
  std::size_t holder = kEntries;
  for (std::size_t i = 0; i < kEntries; ++i) {
    if (!duties.empty() && duties.back().holder == deployment.entry(i).name()) {
      holder = i;
    } else {
      order.push_back(i);
    }
  }
  if (holder < kEntries) {
    order.push_back(holder);
  }
  return order;
}

// Writes the accepted reports to the record. Returns whether two for one window
// differ.
bool HasDifferentReports(review::small_deployment& deployment) {
  std::map<std::int64_t, json::value> windows;
  bool differ = false;
  for (const review::duty_call& call : deployment.platform().duties()) {
    if (call.path != "/usage" || !call.accepted) {
      continue;
    }
    const json::value body = json::parse(call.body);
    const auto window = body.at("windowId").to_number<std::int64_t>();
    const auto first = windows.emplace(window, body.at("counts")).first;
    const bool differs = first->second != body.at("counts");
    differ = differ || differs;
    deployment.record().Write(std::string(differs ? "DIFFERS" : "accepted") +
                              " from " + call.holder + ", fence " +
                              std::to_string(call.fencing) + ": " + call.body);
  }
  return differ;
}

int Run(review::small_deployment& deployment, bool trouble) {
  if (!deployment.Start()) {
    std::cerr << "The entry instances are not ready.\n";
    return 2;
  }
  deployment.StartCallers(kRequestsPerSecond);
  std::this_thread::sleep_for(kCalm);
  const std::int64_t window =
      WindowAt(std::chrono::system_clock::now() + seconds(3));
  const std::vector<std::size_t> order = HolderLast(deployment);
  if (order.size() != kEntries) {
    std::cerr << "No entry instance holds the duty.\n";
    return 2;
  }

  // Processes end with the thread that started them.
  std::promise<void> finished;
  const std::shared_future<void> at_end = finished.get_future().share();
  std::vector<std::thread> restarts;
  const std::vector<milliseconds> times = {kFirstRestart, kSecondRestart,
                                           kThirdRestart};
  for (std::size_t i = 0; i < kEntries; ++i) {
    restarts.emplace_back([&, i] {
      review::entry_process& entry = deployment.entry(order[i]);
      SleepUntil(window, times[i]);
      deployment.record().Write(entry.name() + " gets SIGTERM");
      entry.Restart();
      deployment.record().Write(entry.name() + " starts again");
      at_end.wait();
    });
  }
  SleepUntil(window, kCopy);
  deployment.platform().TakeCopy();
  deployment.record().Write("the copy is taken in window " +
                            std::to_string(window));
  SleepUntil(window, kDrill);
  if (trouble) {
    deployment.record().Write("the store goes away");
    deployment.platform().GoAway();
    std::this_thread::sleep_for(kAway);
    deployment.platform().ComeBack();
    deployment.record().Write("the store is back from a copy");
  }
  SleepUntil(window, kEnd);
  deployment.StopCallers();
  const bool differ = HasDifferentReports(deployment);
  deployment.End();
  finished.set_value();
  for (std::thread& each : restarts) {
    each.join();
  }
  std::cout << (differ ? "Two reports for one window with different counts "
                         "were accepted.\n"
                       : "All reports for one window had the same counts.\n");
  return differ ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  const review::case_arguments arguments = review::ReadArguments(argc, argv);
  auto* deployment =
      new review::small_deployment(arguments, kEntries, kEngines, kWork);
  const int result = Run(*deployment, arguments.trouble);
  deployment->End();
  std::cout.flush();
  std::quick_exit(result);
}
