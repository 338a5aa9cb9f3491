// Defines ParseEndpoint, which parses an IP address and a port, and WithPort,
// which replaces the port of one.
#ifndef WIRE_ENDPOINT_H_
#define WIRE_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// Parses "127.0.0.1:80" or "[::1]:80"; returns nullopt for any other form. Host
// names are not resolved, because processes address each other by IP address.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

// Returns an address in one of these forms with another port.
std::string WithPort(std::string_view address, std::uint16_t port);

}  // namespace anvilloom

#endif  // WIRE_ENDPOINT_H_
