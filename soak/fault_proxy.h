// Defines fault_proxy, a TCP proxy on loopback that spoils the connections
// through it.
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

enum class proxy_mode : std::uint8_t {
  kPass,
  kDelay,     // Every piece is kept back for a while.
  kSilence,   // Nothing passes, and nothing is closed.
  kCutReply,  // What the server sends is lost; requests still pass.
  kReset,     // Open connections are reset, new ones too.
};

// Runs on the thread of its context.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& context, std::uint16_t target_port);

  std::uint16_t port() const { return port_; }
  // Thread-safe.
  void Set(proxy_mode mode);

 private:
  struct link;

  awaitable<void> Accept();
  awaitable<void> Join(std::shared_ptr<link> joined);
  awaitable<void> Pump(std::shared_ptr<link> joined, bool reply);
  static void Reset(link& joined);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::atomic<proxy_mode> mode_{proxy_mode::kPass};
  std::vector<std::weak_ptr<link>> links_;
};

}  // namespace anvilloom::soak

#endif  // SOAK_FAULT_PROXY_H_
