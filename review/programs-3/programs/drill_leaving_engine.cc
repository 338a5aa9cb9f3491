// Half of the engines are replaced, one after the other. Each leaves by the
// removal of its entry and goes on serving for a while, as the pages allow. The
// store comes back from a copy that still has their entries. Exits with 1 if an
// entry instance that knew of a removal sends the engine a request later than
// drainMs after it.

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

// The machines of the site file.
constexpr std::size_t kEntries = 7;
constexpr std::size_t kEngines = 6;
constexpr std::size_t kReplaced = kEngines / 2;
// Within the latency objective of the sheet, 300 ms.
constexpr milliseconds kWork{150};
// The sheet has 18 for this service; here more, so that each run shows it.
constexpr int kRequestsPerSecond = 100;
// Longer than contactMs, so that all machines are in touch.
constexpr seconds kCalm{5};
constexpr milliseconds kCopyAge{100};
constexpr milliseconds kGap{1000};
constexpr milliseconds kDrain{2000};
// From the last removal to the drill. All engines serve until after it, which
// is drainMs and a little longer.
constexpr milliseconds kUntilDrill{2600};
constexpr milliseconds kAway{300};
// From the return of the store until the engines write what they wrote before,
// which they do within a heartbeat of 1.2 seconds, and the old ones end.
constexpr milliseconds kUntilEnd{500};

void ReplaceEngine(review::small_deployment& deployment, std::size_t index) {
  deployment.AddEngine();
  review::engine_stand_in& engine = deployment.engine(index);
  engine.Leave();
  deployment.platform().Remove("servers", engine.id());
  deployment.record().Write(engine.id() + " is leaving, its entry is removed");
}

void PlayDrill(review::small_deployment& deployment) {
  deployment.record().Write("the store goes away");
  deployment.platform().GoAway();
  std::this_thread::sleep_for(kAway);
  deployment.platform().ComeBack();
  deployment.record().Write("the store is back from a copy");
}

// Counts the requests that reached an engine later than drainMs after their
// entry instance was told that it is gone.
int CountLate(review::small_deployment& deployment) {
  std::size_t late = 0;
  std::size_t lost = 0;
  for (std::size_t i = 0; i < kReplaced; ++i) {
    const std::string& engine = deployment.engine(i).id();
    const auto told = deployment.told_of_removal(engine);
    for (const review::sent_request& each : deployment.requests()) {
      const auto known = told.find(each.entry);
      const bool reached = std::find(each.engines.begin(), each.engines.end(),
                                     engine) != each.engines.end();
      if (reached && known != told.end() &&
          each.sent_at > known->second + kDrain) {
        ++late;
        lost += each.status == 200 ? 0 : 1;
        deployment.record().Write("LATE " + each.id + " from " + each.entry +
                                  " to " + engine + ", answered " +
                                  std::to_string(each.status));
      }
    }
  }
  std::cout << late
            << " requests reached an engine later than drainMs after their "
               "entry instance was told that it is gone; "
            << lost << " of them were lost\n";
  return late > 0 ? 1 : 0;
}

int Run(review::small_deployment& deployment, bool trouble) {
  if (!deployment.Start()) {
    std::cerr << "The entry instances are not ready.\n";
    return 2;
  }
  deployment.StartCallers(kRequestsPerSecond);
  std::this_thread::sleep_for(kCalm);

  review::platform_stand_in& platform = deployment.platform();
  platform.TakeCopy();
  std::this_thread::sleep_for(kCopyAge);
  for (std::size_t i = 0; i < kReplaced; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(kGap);
    }
    ReplaceEngine(deployment, i);
  }
  std::this_thread::sleep_for(kUntilDrill);
  if (trouble) {
    PlayDrill(deployment);
  }
  std::this_thread::sleep_for(kUntilEnd);
  for (std::size_t i = 0; i < kReplaced; ++i) {
    review::engine_stand_in& started = deployment.engine(kEngines + i);
    platform.Put("servers", started.id(), started.Entry());
    review::engine_stand_in& engine = deployment.engine(i);
    platform.Remove("servers", engine.id());
    engine.End();
    deployment.record().Write(engine.id() + " has ended");
  }
  std::this_thread::sleep_for(seconds(3));
  deployment.StopCallers();
  return CountLate(deployment);
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
