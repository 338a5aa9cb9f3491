// Defines datagram_socket, which sends and receives messages over UDP.
#ifndef WIRE_DATAGRAM_SOCKET_H_
#define WIRE_DATAGRAM_SOCKET_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <string_view>

#include "wire/transfer.h"

namespace anvilloom {

// Intended for messages that each supersede the previous one, so that packet
// loss is harmless. UDP avoids a connection per pair of instances. Not
// thread-safe.
class datagram_socket {
 public:
  // Throws boost::system::system_error if the address can't be bound.
  datagram_socket(const boost::asio::any_io_executor& executor,
                  std::string_view address);

  // Sends the message without blocking, or drops it.
  void Send(std::string_view address, std::string_view message);

  // Number of messages that could not be sent.
  std::uint64_t dropped() const { return dropped_; }

  // Receives the next message. The view is valid until the next call and empty
  // after an error.
  awaitable<std::string_view> Receive();

  // The bound port; differs from the requested one if that was 0.
  std::uint16_t port() const { return socket_.local_endpoint().port(); }

 private:
  // Upper bound of the size of a UDP datagram.
  static constexpr std::size_t kBufferBytes = std::size_t{64} * 1024;

  boost::asio::ip::udp::socket socket_;
  std::array<char, kBufferBytes> buffer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace anvilloom

#endif  // WIRE_DATAGRAM_SOCKET_H_
