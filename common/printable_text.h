// Defines functions for text that other programs have chosen, such as the names
// of entries in the store, before it is written to a log or a terminal.
#ifndef COMMON_PRINTABLE_TEXT_H_
#define COMMON_PRINTABLE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace anvilloom {

// Returns the longest beginning of at most `max_bytes` that does not end inside
// a UTF-8 character.
std::string_view CutText(std::string_view text, std::size_t max_bytes);

// Replaces control characters and bytes that are not valid UTF-8 by \xNN.
std::string ToPrintable(std::string_view text);

}  // namespace anvilloom

#endif  // COMMON_PRINTABLE_TEXT_H_
