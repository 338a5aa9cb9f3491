// Defines transfer_failure, the typed failure of a call over the network, and
// transfer_result, a value or that failure.
#ifndef WIRE_TRANSFER_H_
#define WIRE_TRANSFER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>

namespace anvilloom {

// Why a call over the network has no answer.
enum class transfer_error {
  kBadAddress,  // The address is not an IP address and a port.
  kRefused,     // No connection could be opened.
  kTimedOut,    // The deadline passed.
  kClosed,      // The peer closed the connection before the answer ended.
  kMalformed,   // The answer is not valid HTTP, or its length is in doubt.
  kTooLarge,    // The answer exceeds the limit.
};

// A failed call. `sent` is false only if no byte of the request can have
// reached the peer, so that the request certainly did not run.
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
