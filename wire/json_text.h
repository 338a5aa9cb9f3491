// Defines functions that parse JSON text and read object members by key.
#ifndef WIRE_JSON_TEXT_H_
#define WIRE_JSON_TEXT_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// Parses JSON; returns nullopt if the text is not valid.
std::optional<boost::json::value> ParseJson(std::string_view text);
// Same as ParseJson, but also accepts // and /* */ comments.
std::optional<boost::json::value> ParseJsonWithComments(std::string_view text);

// Returns a member of an object, or null if it is absent or `object` is not an
// object.
const boost::json::value* FindMember(const boost::json::value& object,
                                     std::string_view key);
// Returns a member as a string, or nullopt if it is absent or not a string. The
// view points into `object`.
std::optional<std::string_view> StringMember(const boost::json::value& object,
                                             std::string_view key);
// Returns a member as a number, or nullopt if it is absent, negative or not an
// integer.
std::optional<std::uint64_t> UnsignedMember(const boost::json::value& object,
                                            std::string_view key);
// Returns a member as a boolean, or nullopt if it is absent or not a boolean.
std::optional<bool> BoolMember(const boost::json::value& object,
                               std::string_view key);

}  // namespace anvilloom

#endif  // WIRE_JSON_TEXT_H_
