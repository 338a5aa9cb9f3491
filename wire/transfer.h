// Defines transfer_failure, the error of a network call, and transfer_result, a
// value or that error.
#ifndef WIRE_TRANSFER_H_
#define WIRE_TRANSFER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>

namespace anvilloom {

// Reasons why a network call failed.
enum class transfer_error {
  kBadAddress,  // The address is not an IP address and a port.
  kRefused,     // No connection could be opened.
  kTimedOut,    // The deadline passed.
  kClosed,     // The peer closed the connection before the end of the response.
  kMalformed,  // The response is not valid HTTP, or its length is ambiguous.
  kTooLarge,   // The response exceeds the size limit.
};

// A failed call. `sent` is false only if no byte of the request can have
// reached the peer, which guarantees that the request did not run.
struct transfer_failure {
  transfer_error error;
  bool sent;
};

[[noreturn]] void throw_exception_from_error(
    const transfer_failure& failure,
    const boost::source_location& location);

template <typename T>
using transfer_result = boost::system::result<T, transfer_failure>;

template <typename T>
using awaitable = boost::asio::awaitable<T>;

}  // namespace anvilloom

#endif  // WIRE_TRANSFER_H_
