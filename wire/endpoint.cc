#include "wire/endpoint.h"

#include <charconv>
#include <cstdint>

namespace anvilloom {

namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return port;
}

std::string_view StripBrackets(std::string_view host) {
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    return host.substr(1, host.size() - 2);
  }
  return host;
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(
      std::string(StripBrackets(text.substr(0, colon))), error);
  if (error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, *port);
}

std::string WithPort(std::string_view address, std::uint16_t port) {
  return std::string(address.substr(0, address.rfind(':') + 1)) +
         std::to_string(port);
}

}  // namespace anvilloom
