// Runs the stand-in for a model engine.

#include <boost/program_options.hpp>
#include <cstdint>
#include <iostream>

#include "standins/model_engine.h"
#include "standins/serve_main.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string address;
  anvilloom::engine_behaviour behaviour;
  std::int64_t first_token_us = behaviour.first_token_delay.count();
  std::int64_t token_interval_us = behaviour.token_interval.count();
  options::options_description all("standin_engine");
  all.add_options()("help", "Prints this text.")(
      "listen", options::value(&address)->default_value("127.0.0.1:0"),
      "IP address and port to listen on.")(
      "version", options::value(&behaviour.version), "Model version.")(
      "first-token-us", options::value(&first_token_us),
      "Time to the first token, in microseconds.")(
      "token-interval-us", options::value(&token_interval_us),
      "Time between tokens, in microseconds.");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    behaviour.first_token_delay = std::chrono::microseconds(first_token_us);
    behaviour.token_interval = std::chrono::microseconds(token_interval_us);
    anvilloom::model_engine engine(behaviour);
    return anvilloom::ServeUntilSignal(address, 1, engine);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
