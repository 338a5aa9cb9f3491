// Defines datagram_socket, which sends and receives small messages over UDP.
#ifndef WIRE_DATAGRAM_SOCKET_H_
#define WIRE_DATAGRAM_SOCKET_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <string_view>

#include "wire/transfer.h"

namespace anvilloom {

// For messages of which each replaces the one before: a lost one does no harm,
// and no connection has to be kept for each pair of instances.
class datagram_socket {
 public:
  // Throws boost::system::system_error if the address can't be bound.
  datagram_socket(const boost::asio::any_io_executor& executor,
                  std::string_view address);

  // Sends at once or drops the message.
  void Send(std::string_view address, std::string_view message);

  // Messages that were dropped so far.
  std::uint64_t dropped() const { return dropped_; }

  // The next message, valid until the next call; empty after an error.
  awaitable<std::string_view> Receive();

  // The bound port, useful when the address asked for port 0.
  std::uint16_t port() const { return socket_.local_endpoint().port(); }

 private:
  // The largest datagram.
  static constexpr std::size_t kBufferBytes = std::size_t{64} * 1024;

  boost::asio::ip::udp::socket socket_;
  std::array<char, kBufferBytes> buffer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace anvilloom

#endif  // WIRE_DATAGRAM_SOCKET_H_
