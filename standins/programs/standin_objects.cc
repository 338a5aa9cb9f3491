// Runs the stand-in for the platform's object API.

#include <boost/program_options.hpp>
#include <iostream>

#include "standins/object_api.h"
#include "standins/serve_main.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string address;
  options::options_description all("standin_objects");
  all.add_options()("help", "Prints this text.")(
      "listen", options::value(&address)->default_value("127.0.0.1:0"),
      "IP address and port to listen on.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    anvilloom::object_api api;
    return anvilloom::ServeUntilSignal(address, 1, api);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
