// Defines RunStandin, the common main function of the stand-in programs.
#ifndef STANDINS_SERVE_MAIN_H_
#define STANDINS_SERVE_MAIN_H_

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <concepts>
#include <cstddef>
#include <iostream>
#include <string>

#include "wire/http_server.h"

namespace anvilloom {

// Serves `handler` on `address` until SIGINT or SIGTERM. Prints the port that
// it listens on.
template <http_handler Handler>
int ServeUntilSignal(const std::string& address,
                     std::size_t threads,
                     Handler& handler) {
  io_pool pool(threads);
  http_server_limits limits;
  limits.body_bytes = std::size_t{4} * 1024 * 1024;
  http_server server(pool, address, limits, handler);
  std::cout << "listening on port " << server.port() << std::endl;
  pool.Start();
  boost::asio::io_context signals_context(1);
  boost::asio::signal_set signals(signals_context, SIGINT, SIGTERM);
  signals.async_wait([](auto, auto) {});
  signals_context.run();
  pool.Stop();
  return 0;
}

// Parses the command line with the options in `all` and the common options
// --help and --listen, then serves the handler that `make` returns. Returns the
// exit code, which is 2 if the command line is invalid or `make` throws.
template <std::invocable Make>
int RunStandin(int argc,
               char** argv,
               boost::program_options::options_description all,
               Make make) {
  namespace options = boost::program_options;
  std::string address;
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
    auto handler = make();
    return ServeUntilSignal(address, 1, handler);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}

}  // namespace anvilloom

#endif  // STANDINS_SERVE_MAIN_H_
