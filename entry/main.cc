// The entry instance: serves callers in front of upstreams.

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <zmq.hpp>

#include "common/log.h"
#include "entry/entry_instance.h"
#include "entry/settings.h"

namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

int Serve(anvilloom::entry_settings settings) {
  try {
    anvilloom::entry_instance instance(std::move(settings));
    instance.AwaitDrain();
    instance.Drain();
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
  anvilloom::Log(anvilloom::log_level::kInfo, anvilloom::log_event::kStopped);
  return 0;
}

int ServeWithSettings(const std::string& path) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, anvilloom::LoadSettings(path));
        return Serve(std::move(settings));
      },
      [](const anvilloom::settings_fault& fault) {
        std::cerr << anvilloom::Sentence(fault) << '\n';
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
  options::options_description all(
      "Usage: anvilloom --settings FILE\n\nServes callers in front of "
      "upstreams until SIGTERM, then drains.\n\nOptions");
  all.add_options()("help", "Prints this text.")(
      "settings", options::value(&settings_path),
      "Settings of this instance: JSON with comments.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
  } catch (const options::error& failure) {
    std::cerr << "The command line is not valid: " << failure.what() << ".\n";
    return kExitUsage;
  }
  if (settings_path.empty()) {
    std::cerr << "The option --settings FILE is required.\n";
    return kExitUsage;
  }
  return ServeWithSettings(settings_path);
}
