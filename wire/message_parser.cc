#include "wire/message_parser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/errc.hpp>
#include <cctype>
#include <string_view>

namespace anvilloom {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

// The transfer codings of a message, in the order in which they were applied.
struct coding_list {
  std::size_t count = 0;
  std::size_t chunked = 0;
  bool ends_with_chunked = false;
  bool well_formed = true;
};

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view kWhiteSpace = " \t";
  const std::size_t begin = text.find_first_not_of(kWhiteSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhiteSpace) + 1 - begin);
}

// Whether `text` is the name of a coding without parameters. Other characters
// of a token are in no registered name.
bool IsCodingName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char each) {
    return std::isalnum(static_cast<unsigned char>(each)) != 0 || each == '-';
  });
}

void AddCodings(std::string_view line, coding_list& codings) {
  for (bool more = true; more;) {
    const std::size_t comma = line.find(',');
    const std::string_view name = Trimmed(line.substr(0, comma));
    const bool is_chunked = boost::beast::iequals(
        boost::beast::string_view(name.data(), name.size()), "chunked");
    codings.well_formed = codings.well_formed && IsCodingName(name);
    codings.chunked += is_chunked ? 1 : 0;
    codings.ends_with_chunked = is_chunked;
    ++codings.count;
    more = comma != std::string_view::npos;
    line.remove_prefix(more ? comma + 1 : line.size());
  }
}

coding_list ReadCodings(const http::fields& header) {
  coding_list codings;
  const auto [begin, end] = header.equal_range(http::field::transfer_encoding);
  for (auto line = begin; line != end; ++line) {
    AddCodings({line->value().data(), line->value().size()}, codings);
  }
  return codings;
}

}  // namespace

message_framing CheckFraming(const http::fields& header, unsigned version) {
  if (header.find(http::field::transfer_encoding) == header.end()) {
    return message_framing::kDefined;
  }
  const coding_list codings = ReadCodings(header);
  const bool has_length =
      header.find(http::field::content_length) != header.end();
  if (has_length || version < kHttp11 || !codings.well_formed ||
      !codings.ends_with_chunked || codings.chunked != 1) {
    return message_framing::kAmbiguous;
  }
  return codings.count == 1 ? message_framing::kDefined
                            : message_framing::kUnsupportedCoding;
}

boost::system::error_code FramingError(message_framing framing) {
  switch (framing) {
    case message_framing::kDefined:
      return {};
    case message_framing::kAmbiguous:
      return http::error::bad_transfer_encoding;
    case message_framing::kUnsupportedCoding:
      return make_error_code(boost::system::errc::not_supported);
  }
  return http::error::bad_transfer_encoding;
}

}  // namespace anvilloom
