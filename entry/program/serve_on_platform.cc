#include "entry/program/serve_on_platform.h"

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "common/log.h"
#include "entry/gateway.h"
#include "platform/platform.h"

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;

// Logs whether the settings file can be read; it takes effect at the next
// start.
void CheckSettings(const std::string& path) {
  const std::string finding = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(settings, LoadGatewaySettings(path));
        return "readable, for " + settings.name;
      },
      [](const settings_fault& fault) { return ErrorMessage(fault); },
      [] { return std::string("not readable"); });
  Log(log_level::kInfo, log_event::kSettingsReloaded, {{"finding", finding}});
}

}  // namespace

void ServeOnPlatform(gateway_settings settings,
                     const std::string& settings_path) {
  // Blocked before the threads start, so that only this thread receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  gateway<platform::users_platform> instance(std::move(settings));
  instance.Start();
  for (;;) {
    int received = 0;
    if (sigwait(&signals, &received) != 0 || received != SIGHUP) {
      break;
    }
    CheckSettings(settings_path);
  }
  instance.Drain();
  // Suspended coroutines on both pools refer to objects that would be destroyed
  // before them. Nothing is left to write, so the process exits without running
  // destructors.
  std::quick_exit(0);
}

}  // namespace anvilloom
