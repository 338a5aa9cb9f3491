// An engine leaves by the removal of its entry and goes on serving for a while,
// as the pages allow. The store comes back from a copy that still has the
// entry. Exits with 1 if an entry instance that knew of the removal sends the
// engine a request later than drainMs after it.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

#include "review/programs-3/small_deployment.h"

namespace {

using review::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 3;
constexpr std::size_t kEngines = 3;
constexpr milliseconds kWork{250};
constexpr int kRequestsPerSecond = 60;
// Longer than contactMs, so that all machines are in touch.
constexpr seconds kCalm{5};
constexpr seconds kCopyAge{1};
constexpr milliseconds kDrain{2000};
// From the removal to the drill. The engine serves for this time, which is
// drainMs and a little longer.
constexpr milliseconds kUntilDrill{3500};
constexpr milliseconds kAway{300};
// From the return of the store until the engine removes its entry again, which
// it does within a heartbeat of 1.2 seconds, and ends.
constexpr milliseconds kUntilEnd{400};

int Run(review::small_deployment& deployment, bool trouble) {
  if (!deployment.Start()) {
    std::cerr << "The entry instances are not ready.\n";
    return 2;
  }
  deployment.StartCallers(kRequestsPerSecond);
  std::this_thread::sleep_for(kCalm);

  review::engine_stand_in& engine = deployment.engine(0);
  review::platform_stand_in& platform = deployment.platform();
  platform.TakeCopy();
  std::this_thread::sleep_for(kCopyAge);
  engine.Leave();
  platform.Remove("servers", engine.id());
  const auto removed_at = steady_clock::now();
  deployment.record().Write(engine.id() + " is leaving, its entry is removed");
  std::this_thread::sleep_for(kUntilDrill);
  if (trouble) {
    deployment.record().Write("the store goes away");
    platform.GoAway();
    std::this_thread::sleep_for(kAway);
    platform.ComeBack();
    deployment.record().Write("the store is back from a copy");
  }
  std::this_thread::sleep_for(kUntilEnd);
  platform.Remove("servers", engine.id());
  engine.End();
  deployment.record().Write(engine.id() + " has ended");
  std::this_thread::sleep_for(seconds(3));
  deployment.StopCallers();

  const auto told = deployment.told_of_removal(engine.id());
  std::size_t late = 0;
  std::size_t lost = 0;
  for (const review::sent_request& each : deployment.requests()) {
    const auto known = told.find(each.entry);
    const bool reached = std::find(each.engines.begin(), each.engines.end(),
                                   engine.id()) != each.engines.end();
    if (reached && known != told.end() &&
        each.sent_at > std::max(known->second, removed_at) + kDrain) {
      ++late;
      lost += each.status == 200 ? 0 : 1;
      deployment.record().Write("LATE " + each.id + " from " + each.entry +
                                ", answered " + std::to_string(each.status));
    }
  }
  std::cout << late << " requests reached " << engine.id()
            << " later than drainMs after their entry instance was told that "
               "it is gone; "
            << lost << " of them were lost\n";
  return late > 0 ? 1 : 0;
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
