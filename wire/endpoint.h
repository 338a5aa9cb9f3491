// Defines ParseEndpoint, which reads an IP address and port from text.
#ifndef WIRE_ENDPOINT_H_
#define WIRE_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace anvilloom {

// Reads "127.0.0.1:80" or "[::1]:80"; nothing if the text is neither. Host
// names are not resolved: processes talk by IP address.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

}  // namespace anvilloom

#endif  // WIRE_ENDPOINT_H_
