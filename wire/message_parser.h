// Defines message_parser, which parses an HTTP/1.1 message whose end is beyond
// doubt, and CheckFraming(), which decides whether it is.
#ifndef WIRE_MESSAGE_PARSER_H_
#define WIRE_MESSAGE_PARSER_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>

namespace anvilloom {

// What the header of a message says about the end of its body.
enum class message_framing : std::uint8_t {
  kDefined,
  // Peers may disagree about where the body ends (RFC 9112, section 6.3).
  kAmbiguous,
  // The body has a transfer coding besides chunked, which is not implemented.
  kUnsupportedCoding,
};

// `version` is 10 for HTTP/1.0 and 11 for HTTP/1.1. Values of Content-Length
// are not examined: the parser rejects all but one number.
message_framing CheckFraming(const boost::beast::http::fields& header,
                             unsigned version);

// Returns no error for kDefined, http::error::bad_transfer_encoding for
// kAmbiguous and errc::not_supported for kUnsupportedCoding.
boost::system::error_code FramingError(message_framing framing);

// Beast's parser ignores transfer codings other than chunked. This one fails
// with FramingError() at the end of the header.
template <bool IsRequest, typename Body>
class message_parser : public boost::beast::http::parser<IsRequest, Body> {
 private:
  void on_header_impl(boost::system::error_code& error) override {
    error = FramingError(CheckFraming(this->get(), this->get().version()));
  }
};

}  // namespace anvilloom

#endif  // WIRE_MESSAGE_PARSER_H_
