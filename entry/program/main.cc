// The entry program, which forwards the requests of callers to upstreams.

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <zmq.hpp>

#include "common/log.h"
#include "entry/entry_instance.h"
#include "entry/program/serve_on_platform.h"
#include "entry/settings.h"

namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

// Environment variable that names the settings file with --platform if
// --settings is not given.
constexpr const char* kSettingsVariable = "ANVILLOOM_CONFIG";

// Runs `serve` and converts startup failures into an exit code.
template <typename Serve>
int RunUntilStopped(Serve serve) {
  try {
    serve();
  } catch (const zmq::error_t& failure) {
    anvilloom::Log(anvilloom::log_level::kError,
                   anvilloom::log_event::kStartFailed,
                   {{"cause", failure.what()}});
    return kExitFailed;
  } catch (const boost::system::system_error& failure) {
    anvilloom::Log(anvilloom::log_level::kError,
                   anvilloom::log_event::kStartFailed,
                   {{"cause", failure.what()}});
    return kExitFailed;
  }
  return 0;
}

int Serve(anvilloom::entry_settings settings) {
  return RunUntilStopped([&] {
    anvilloom::entry_instance instance(std::move(settings));
    instance.AwaitDrain();
    instance.Drain();
    anvilloom::Log(anvilloom::log_level::kInfo, anvilloom::log_event::kStopped);
  });
}

int ServeGateway(anvilloom::gateway_settings settings,
                 const std::string& path) {
  return RunUntilStopped(
      [&] { anvilloom::ServeOnPlatform(std::move(settings), path); });
}

int ServeWithSettings(const std::string& path, bool on_platform) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        if (on_platform) {
          BOOST_LEAF_AUTO(settings, anvilloom::LoadGatewaySettings(path));
          return ServeGateway(std::move(settings), path);
        }
        BOOST_LEAF_AUTO(settings, anvilloom::LoadSettings(path));
        return Serve(std::move(settings));
      },
      [](const anvilloom::settings_fault& fault) {
        std::cerr << anvilloom::ErrorMessage(fault) << '\n';
        return kExitUsage;
      },
      [] {
        std::cerr << "The settings could not be read.\n";
        return kExitUsage;
      });
}

}  // namespace

int main(int argc, char** argv) {
  anvilloom::InitializeLog();
  std::string settings_path;
  bool on_platform = false;
  options::options_description description(
      "Usage: anvilloom [--platform] --settings FILE\n\nServes callers in "
      "front of "
      "upstreams until SIGTERM, then drains.\n\nOptions");
  description.add_options()("help", "Prints this text.")(
      "settings", options::value(&settings_path),
      "Settings of this instance: JSON with comments.")(
      "platform",
      "Serves on the users' platform. The settings are those of a gateway; "
      "without --settings, the variable ANVILLOOM_CONFIG names them.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
    on_platform = values.contains("platform");
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
  } catch (const options::error& failure) {
    std::cerr << "The command line is not valid: " << failure.what() << ".\n";
    return kExitUsage;
  }
  const char* named = std::getenv(kSettingsVariable);
  if (settings_path.empty() && on_platform && named != nullptr) {
    settings_path = named;
  }
  if (settings_path.empty()) {
    std::cerr << "The option --settings FILE is required.\n";
    return kExitUsage;
  }
  return ServeWithSettings(settings_path, on_platform);
}
