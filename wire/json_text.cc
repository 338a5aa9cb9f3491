#include "wire/json_text.h"

#include <boost/json/parse.hpp>

namespace anvilloom {

namespace {

namespace json = boost::json;

// Deeper nesting is rejected, so that input cannot exhaust the stack.
constexpr std::size_t kMaxDepth = 32;

std::optional<json::value> Parse(std::string_view text, bool comments) {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  options.allow_comments = comments;
  boost::system::error_code error;
  json::value parsed =
      json::parse({text.data(), text.size()}, error, {}, options);
  if (error) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace

std::optional<json::value> ParseJson(std::string_view text) {
  return Parse(text, false);
}

std::optional<json::value> ParseJsonWithComments(std::string_view text) {
  return Parse(text, true);
}

const json::value* FindMember(const json::value& object, std::string_view key) {
  const json::object* members = object.if_object();
  return members == nullptr ? nullptr
                            : members->if_contains({key.data(), key.size()});
}

std::optional<std::string_view> StringMember(const json::value& object,
                                             std::string_view key) {
  const json::value* member = FindMember(object, key);
  const json::string* text = member == nullptr ? nullptr : member->if_string();
  if (text == nullptr) {
    return std::nullopt;
  }
  return std::string_view(text->data(), text->size());
}

std::optional<std::uint64_t> UnsignedMember(const json::value& object,
                                            std::string_view key) {
  const json::value* member = FindMember(object, key);
  if (member == nullptr) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = member->to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return number;
}

std::optional<bool> BoolMember(const json::value& object,
                               std::string_view key) {
  const json::value* member = FindMember(object, key);
  const bool* flag = member == nullptr ? nullptr : member->if_bool();
  if (flag == nullptr) {
    return std::nullopt;
  }
  return *flag;
}

}  // namespace anvilloom
