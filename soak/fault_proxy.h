// Defines fault_proxy, a TCP proxy on loopback that injects faults into its
// connections.
#ifndef SOAK_FAULT_PROXY_H_
#define SOAK_FAULT_PROXY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "wire/transfer.h"

namespace anvilloom::soak {

// What the proxy does with its connections.
enum class proxy_mode : std::uint8_t {
  kPass,
  kDelay,        // Data is forwarded after a delay.
  kSilence,      // No data is forwarded, and no connection is closed.
  kDropReplies,  // Data from the server is discarded; requests are forwarded.
  kReset,        // Open and new connections are reset.
};

// Runs on the thread of its context, except where noted.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& context, std::uint16_t target_port);

  std::uint16_t port() const { return port_; }
  // Thread-safe.
  void Set(proxy_mode mode);

 private:
  struct proxied_connection;

  awaitable<void> Accept();
  awaitable<void> ConnectAndRelay(
      std::shared_ptr<proxied_connection> connection);
  awaitable<void> Relay(std::shared_ptr<proxied_connection> connection,
                        bool from_server);
  static void Reset(proxied_connection& connection);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::atomic<proxy_mode> mode_{proxy_mode::kPass};
  std::vector<std::weak_ptr<proxied_connection>> connections_;
};

}  // namespace anvilloom::soak

#endif  // SOAK_FAULT_PROXY_H_
