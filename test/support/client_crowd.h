// Defines client_crowd, many connections that send what a test chooses and read
// nothing, as clients that break the protocol do.
#ifndef TEST_SUPPORT_CLIENT_CROWD_H_
#define TEST_SUPPORT_CLIENT_CROWD_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "wire/transfer.h"

namespace anvilloom {

// What one connection sends. It stays open afterwards.
struct crowd_script {
  std::string first;
  // Sent `times` times after `first`, with a pause before each.
  std::string repeated = {};
  std::size_t times = 0;
  std::chrono::milliseconds pause{0};
  // Whether it is then closed instead, and opened again after this pause.
  std::optional<std::chrono::milliseconds> reconnects_after = {};
};

// The connections are served by a thread of their own, and are closed on
// destruction.
class client_crowd {
 public:
  // Opens `count` connections to a port on loopback.
  client_crowd(std::uint16_t port, std::size_t count, crowd_script script);
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  // Connections that have sent everything or could not send on, once.
  std::size_t settled() const { return settled_.load(); }

 private:
  awaitable<void> Run(std::uint16_t port);
  // Sends the script on a new connection, until an error.
  awaitable<void> Send(std::uint16_t port,
                       boost::asio::ip::tcp::socket& socket);

  crowd_script script_;
  boost::asio::io_context context_{1};
  std::atomic<std::size_t> settled_{0};
  std::jthread thread_;
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_CLIENT_CROWD_H_
