// Defines message_parser, which parses an HTTP/1.1 message whose end is beyond
// doubt, and CheckFraming(), which decides whether it is.
#ifndef WIRE_MESSAGE_PARSER_H_
#define WIRE_MESSAGE_PARSER_H_

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
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

// Longest name or value of a header field. Beast's fields throw above 65,535
// bytes, separators included.
inline constexpr std::size_t kMaxFieldBytes = 60'000;

// Beast's parser ignores transfer codings other than chunked, and adds trailer
// fields to the header. This one fails with FramingError() at the end of the
// header, and discards trailers, as RFC 9110, section 6.5.1 allows.
template <bool IsRequest, typename Body>
class message_parser : public boost::beast::http::parser<IsRequest, Body> {
 private:
  void on_field_impl(boost::beast::http::field field,
                     boost::beast::string_view name,
                     boost::beast::string_view value,
                     boost::system::error_code& error) override {
    error = {};
    if (this->is_header_done()) {
      return;  // A trailer.
    }
    if (name.size() > kMaxFieldBytes || value.size() > kMaxFieldBytes) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    this->get().insert(field, name, value);
  }

  void on_header_impl(boost::system::error_code& error) override {
    error = FramingError(CheckFraming(this->get(), this->get().version()));
  }
};

}  // namespace anvilloom

#endif  // WIRE_MESSAGE_PARSER_H_
