// Defines functions that parse JSON text and read object members by key.
#ifndef WIRE_JSON_TEXT_H_
#define WIRE_JSON_TEXT_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilloom {

// Parses JSON; returns nullopt if the text is not valid.
std::optional<boost::json::value> ParseJson(std::string_view text);
// Returns the whole number that the text is, or nothing if it is none, negative
// or out of range.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);
// Same as ParseJson, but also accepts // and /* */ comments.
std::optional<boost::json::value> ParseJsonWithComments(std::string_view text);

// Views of the elements of a JSON array, or of the values of an object's
// members. Only the outermost structure is examined: an element may itself be
// malformed, too deep or out of range, so that it fails to parse alone.
using json_elements = std::vector<std::string_view>;
struct json_member {
  // Without quotes, as it stands in the text.
  std::string_view key;
  std::string_view value;
};
using json_members = std::vector<json_member>;

// Return nothing if the text is not an array or an object, or has text after
// it.
std::optional<json_elements> SplitArray(std::string_view text);
std::optional<json_members> SplitObject(std::string_view text);
// Returns the bytes that the text of a JSON string stands for, also if they are
// not valid Unicode, which ParseJson() does not accept. Returns nothing if the
// text is not a string.
std::optional<std::string> StringBytes(std::string_view text);
// Returns the value of a member, or an empty view if there is none.
std::string_view FindValue(const json_members& members, std::string_view key);

// The following use no memory for values, whose number may be that of the bytes
// of the text. They take text from clients.

// Whether ParseJson() accepts the text.
bool IsValidJson(std::string_view text);
// Returns the value of a member as it stands in valid JSON, the last one of
// several, or an empty view if there is none or the text is not an object.
std::string_view FindRawMember(std::string_view text, std::string_view key);
// Returns valid JSON without the space between its elements.
std::string CompactJson(std::string_view text);

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
