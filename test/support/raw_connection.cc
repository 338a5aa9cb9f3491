#include "test/support/raw_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>

namespace anvilloom {

namespace {

namespace net = boost::asio;
using tcp = net::ip::tcp;

constexpr std::string_view kStatusLine = "HTTP/1.1 ";

}  // namespace

raw_connection::raw_connection(std::uint16_t port)
    : context_(1), socket_(context_) {
  socket_.connect({net::ip::address_v4::loopback(), port});
}

bool raw_connection::Send(std::string_view bytes) {
  boost::system::error_code error;
  net::write(socket_, net::buffer(bytes.data(), bytes.size()), error);
  return !error;
}

void raw_connection::ShutdownSend() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

std::string raw_connection::ReadAll(duration limit) {
  return ReadUntil({}, limit);
}

std::string raw_connection::ReadUntil(std::string_view text, duration limit) {
  std::string received;
  std::array<char, 4096> chunk;
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!closed_ && (text.empty() || received.find(text) == received.npos)) {
    const auto left = end - std::chrono::steady_clock::now();
    if (left <= left.zero()) {
      break;
    }
    socket_.async_read_some(
        net::buffer(chunk),
        [&](const boost::system::error_code& error, std::size_t bytes) {
          received.append(chunk.data(), bytes);
          closed_ = error && error != net::error::operation_aborted;
          reset_ = error == net::error::connection_reset;
        });
    context_.restart();
    if (context_.run_for(left) == 0) {
      socket_.cancel();
      context_.restart();
      context_.run();
      break;
    }
  }
  return received;
}

unsigned FirstStatus(std::string_view bytes) {
  if (!bytes.starts_with(kStatusLine)) {
    return 0;
  }
  unsigned status = 0;
  const std::string_view digits = bytes.substr(kStatusLine.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  return status;
}

}  // namespace anvilloom
