// Runs the stand-in for the platform's instance API.

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>

#include "standins/instance_api.h"
#include "standins/serve_main.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string address;
  std::int64_t list_lag_ms = 0;
  options::options_description all("standin_instances");
  all.add_options()("help", "Prints this text.")(
      "listen", options::value(&address)->default_value("127.0.0.1:0"),
      "IP address and port to listen on.")(
      "list-lag-ms", options::value(&list_lag_ms),
      "Age of the list of instances, in milliseconds.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    anvilloom::instance_registry api{std::chrono::milliseconds(list_lag_ms)};
    return anvilloom::ServeUntilSignal(address, 1, api);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
