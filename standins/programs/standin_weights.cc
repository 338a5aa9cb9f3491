// Runs the stand-in for the platform's store of model weights.

#include <boost/program_options.hpp>
#include <cstdint>
#include <iostream>

#include "standins/serve_main.h"
#include "standins/weight_store.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string address;
  std::uint32_t loads_per_minute = 0;
  options::options_description all("standin_weights");
  all.add_options()("help", "Prints this text.")(
      "listen", options::value(&address)->default_value("127.0.0.1:0"),
      "IP address and port to listen on.")(
      "loads-per-minute", options::value(&loads_per_minute)->default_value(60),
      "Loads allowed in a minute, at least 1.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.contains("help") || loads_per_minute == 0) {
      std::cout << all;
      return values.contains("help") ? 0 : 2;
    }
    anvilloom::weight_store store(loads_per_minute);
    return anvilloom::ServeUntilSignal(address, 1, store);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
