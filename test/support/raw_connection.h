// Defines raw_connection, a blocking TCP connection through which a test sends
// bytes that no HTTP client would send.
#ifndef TEST_SUPPORT_RAW_CONNECTION_H_
#define TEST_SUPPORT_RAW_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/time.h"

namespace anvilloom {

class raw_connection {
 public:
  // Connects to loopback. Throws boost::system::system_error if that fails.
  explicit raw_connection(std::uint16_t port);

  // False once the peer has closed the connection.
  bool Send(std::string_view bytes);
  // Half-closes the connection: nothing more will be sent.
  void ShutdownSend();
  // Returns the bytes received until the peer closes or `limit` expires.
  std::string ReadAll(duration limit);
  // Like ReadAll(), but also returns once `text` has been received.
  std::string ReadUntil(std::string_view text, duration limit);
  // Whether a read has found the connection closed by the peer.
  bool closed() const { return closed_; }
  // Whether the peer has reset the connection, so that what was received may
  // not be all.
  bool reset() const { return reset_; }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  bool closed_ = false;
  bool reset_ = false;
};

// The status of the first answer in `bytes`, or 0.
unsigned FirstStatus(std::string_view bytes);

}  // namespace anvilloom

#endif  // TEST_SUPPORT_RAW_CONNECTION_H_
