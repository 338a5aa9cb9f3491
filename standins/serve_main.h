// Defines ServeUntilSignal, the common main loop of the stand-in programs.
#ifndef STANDINS_SERVE_MAIN_H_
#define STANDINS_SERVE_MAIN_H_

#include <boost/asio/signal_set.hpp>
#include <cstddef>
#include <iostream>
#include <string>

#include "wire/http_server.h"

namespace anvilloom {

// Serves `handler` on `address` until SIGINT or SIGTERM. Prints the bound port.
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

}  // namespace anvilloom

#endif  // STANDINS_SERVE_MAIN_H_
