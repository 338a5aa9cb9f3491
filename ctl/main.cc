// The operator's command line.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/configuration_folder.h"
#include "ctl/publish.h"
#include "wire/http_client.h"
#include "wire/http_object_store.h"
#include "wire/steady_clock.h"

namespace {

namespace net = boost::asio;
namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr std::chrono::seconds kCallLimit{10};

anvilloom::deadline CallDeadline() {
  return anvilloom::deadline::After(anvilloom::steady_source().Now(),
                                    kCallLimit);
}

// Runs one coroutine to its end on the calling thread.
template <typename T>
T RunToEnd(net::io_context& context, anvilloom::awaitable<T> work) {
  auto result = net::co_spawn(context, std::move(work), net::use_future);
  context.run();
  return result.get();
}

int CheckFiles(const std::vector<anvilloom::configuration_file>& files) {
  if (!anvilloom::DecodeConfiguration(files, 1)) {
    std::cerr << "A file of the folder is not a JSON object with comments.\n";
    return kExitFailed;
  }
  return 0;
}

int PublishFiles(const std::vector<anvilloom::configuration_file>& files,
                 const std::string& object_api) {
  if (const int failed = CheckFiles(files)) {
    return failed;
  }
  net::io_context context(1);
  anvilloom::http_object_store store(context.get_executor(), object_api);
  const auto revision =
      RunToEnd(context, anvilloom::Publish(store, files, CallDeadline()));
  if (!revision) {
    std::cerr << "The configuration was not published.\n";
    return kExitFailed;
  }
  std::cout << "Revision " << *revision << " is accepted.\n";
  return 0;
}

int Dump(const std::string& address) {
  net::io_context context(1);
  anvilloom::http_client client(context.get_executor());
  const auto answer = RunToEnd(
      context, client.Exchange(address,
                               anvilloom::MakeRequest(
                                   boost::beast::http::verb::get, "/dump"),
                               CallDeadline()));
  if (!answer) {
    std::cerr << "The instance at " << address << " did not answer.\n";
    return kExitFailed;
  }
  std::cout << answer->body() << '\n';
  return 0;
}

template <typename Act>
int WithFolder(const std::string& path, Act act) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(files, anvilloom::ReadConfigurationFolder(path));
        return act(files);
      },
      [](const anvilloom::unreadable_path& unreadable) {
        std::cerr << "The path " << unreadable.path << " cannot be read.\n";
        return kExitFailed;
      },
      [] {
        std::cerr << "The folder cannot be read.\n";
        return kExitFailed;
      });
}

}  // namespace

int main(int argc, char** argv) {
  std::string command;
  std::string target;
  std::string object_api;
  options::options_description visible(
      "Usage: anvilloomctl COMMAND TARGET [options]\n\n"
      "Commands:\n"
      "  check FOLDER     Checks a folder of configuration files.\n"
      "  publish FOLDER   Checks it and puts it in force.\n"
      "  dump ADDRESS     Prints the state of the instance whose admin port is "
      "at ADDRESS.\n\nOptions");
  visible.add_options()("help", "Prints this text.")(
      "object-api",
      options::value(&object_api)->default_value("127.0.0.1:9000"),
      "IP address and port of the object API.");
  options::options_description all;
  all.add(visible).add_options()("command", options::value(&command))(
      "target", options::value(&target));
  options::positional_options_description positions;
  positions.add("command", 1).add("target", 1);
  try {
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(all)
                       .positional(positions)
                       .run(),
                   values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << visible;
      return 0;
    }
  } catch (const options::error& failure) {
    std::cerr << "The command line is not valid: " << failure.what() << ".\n";
    return kExitUsage;
  }
  if (target.empty()) {
    std::cerr << visible;
    return kExitUsage;
  }
  if (command == "check") {
    return WithFolder(target, CheckFiles);
  }
  if (command == "publish") {
    return WithFolder(target, [&](const auto& files) {
      return PublishFiles(files, object_api);
    });
  }
  if (command == "dump") {
    return Dump(target);
  }
  std::cerr << "The command \"" << command << "\" is not known.\n";
  return kExitUsage;
}
