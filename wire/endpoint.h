// Defines ParseEndpoint, which parses an IP address and a port.
#ifndef WIRE_ENDPOINT_H_
#define WIRE_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace anvilloom {

// Parses "127.0.0.1:80" or "[::1]:80"; returns nullopt for any other form. Host
// names are not resolved, because processes address each other by IP address.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

}  // namespace anvilloom

#endif  // WIRE_ENDPOINT_H_
