// Defines functions for text of any content that is to be a part of an HTTP
// message.
#ifndef WIRE_PERCENT_ENCODING_H_
#define WIRE_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace anvilloom {

// Encodes, as RFC 3986 says in section 2.1, all bytes except letters, digits,
// '-', '.', '_' and '~', so that the result can stand as a segment of a path or
// as a value in a query.
std::string PercentEncode(std::string_view text);

// Decodes a segment of a path. A '%' that two hexadecimal digits don't follow
// stays as it is.
std::string PercentDecode(std::string_view text);

// Same for a name or a value in a query, in which '+' stands for a space.
std::string DecodeQueryText(std::string_view text);

// Whether a path can lead to an object with this name, once it is encoded.
// Servers and proxies resolve the names "." and "..", also encoded ones, and
// take a path without a name for that of the folder.
bool IsPathSegment(std::string_view name);

// Whether the text can be the value of a header without change: it is not
// empty, has no space at an end, and no control characters.
bool IsHeaderValue(std::string_view text);

}  // namespace anvilloom

#endif  // WIRE_PERCENT_ENCODING_H_
