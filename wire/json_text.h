// Defines helpers for reading JSON values by key.
#ifndef WIRE_JSON_TEXT_H_
#define WIRE_JSON_TEXT_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// The parsed text, or nothing if it is not JSON.
std::optional<boost::json::value> ParseJson(std::string_view text);
// As ParseJson, and the text may hold // and /* */ comments.
std::optional<boost::json::value> ParseJsonWithComments(std::string_view text);

// The member of an object, or null if it is absent.
const boost::json::value* FindMember(const boost::json::value& object,
                                     std::string_view key);
// The member as a string; nothing if it is absent or no string. The view
// points into `object`.
std::optional<std::string_view> StringMember(const boost::json::value& object,
                                             std::string_view key);
// The member as a number; nothing if it is absent, negative or no integer.
std::optional<std::uint64_t> UnsignedMember(const boost::json::value& object,
                                            std::string_view key);
// The member as a flag; nothing if it is absent or no flag.
std::optional<bool> BoolMember(const boost::json::value& object,
                               std::string_view key);

}  // namespace anvilloom

#endif  // WIRE_JSON_TEXT_H_
