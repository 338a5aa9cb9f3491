#include "wire/datagram_socket.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include "wire/endpoint.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
using udp = net::ip::udp;

udp::endpoint ToUdp(const net::ip::tcp::endpoint& endpoint) {
  return {endpoint.address(), endpoint.port()};
}

udp::endpoint EndpointOrThrow(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    throw boost::system::system_error(
        net::error::invalid_argument,
        "The report address is not an IP address and a port");
  }
  return ToUdp(*endpoint);
}

}  // namespace

datagram_socket::datagram_socket(const net::any_io_executor& executor,
                                 std::string_view address)
    : socket_(executor, EndpointOrThrow(address)) {
  socket_.non_blocking(true);
}

void datagram_socket::Send(std::string_view address, std::string_view message) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return;
  }
  // A message that could not be sent is superseded by the next one.
  boost::system::error_code error;
  socket_.send_to(net::buffer(message.data(), message.size()), ToUdp(*endpoint),
                  0, error);
  dropped_ += error ? 1 : 0;
}

awaitable<std::string_view> datagram_socket::Receive() {
  udp::endpoint sender;
  const auto [error, bytes] = co_await socket_.async_receive_from(
      net::buffer(buffer_), sender, net::as_tuple(net::use_awaitable));
  if (error) {
    co_return std::string_view{};
  }
  co_return std::string_view(buffer_.data(), bytes);
}

}  // namespace anvilloom
