#include "wire/json_text.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <utility>

namespace anvilloom {

namespace {

namespace json = boost::json;

// Deeper nesting is rejected, so that input cannot exhaust the stack.
constexpr std::size_t kMaxDepth = 32;

constexpr std::string_view kJsonSpace = " \t\r\n";

json::parse_options ParseOptions(bool comments) {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  options.allow_comments = comments;
  return options;
}

// A handler of a parser that only checks the text.
struct json_checker {
  // Boost.JSON prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = json::object::max_size();
  static constexpr std::size_t max_array_size = json::array::max_size();
  static constexpr std::size_t max_key_size = json::string::max_size();
  static constexpr std::size_t max_string_size = json::string::max_size();
  // NOLINTEND(readability-identifier-naming)

  using text = json::string_view;
  using error = boost::system::error_code;
  bool on_document_begin(error&) { return true; }
  bool on_document_end(error&) { return true; }
  bool on_array_begin(error&) { return true; }
  bool on_array_end(std::size_t, error&) { return true; }
  bool on_object_begin(error&) { return true; }
  bool on_object_end(std::size_t, error&) { return true; }
  bool on_string_part(text, std::size_t, error&) { return true; }
  bool on_string(text, std::size_t, error&) { return true; }
  bool on_key_part(text, std::size_t, error&) { return true; }
  bool on_key(text, std::size_t, error&) { return true; }
  bool on_number_part(text, error&) { return true; }
  bool on_int64(std::int64_t, text, error&) { return true; }
  bool on_uint64(std::uint64_t, text, error&) { return true; }
  bool on_double(double, text, error&) { return true; }
  bool on_bool(bool, error&) { return true; }
  bool on_null(error&) { return true; }
  bool on_comment_part(text, error&) { return true; }
  bool on_comment(text, error&) { return true; }
};

std::optional<json::value> Parse(std::string_view text, bool comments) {
  boost::system::error_code error;
  json::value parsed = json::parse({text.data(), text.size()}, error, {},
                                   ParseOptions(comments));
  if (error) {
    return std::nullopt;
  }
  return parsed;
}

std::optional<std::uint64_t> ToUnsigned(const json::value& value) {
  boost::system::error_code error;
  const auto number = value.to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

// Cuts JSON text at the boundaries of values, without recursion.
class json_cutter {
 public:
  explicit json_cutter(std::string_view text) : text_(text) { SkipSpace(); }

  // Skips the character `expected` and space; false if another one follows.
  bool Skip(char expected) {
    if (text_.empty() || text_.front() != expected) {
      return false;
    }
    text_.remove_prefix(1);
    SkipSpace();
    return true;
  }

  // Returns the next value and skips it and space; empty if none follows.
  std::string_view TakeValue() {
    const std::size_t size = ValueSize();
    const std::string_view value = text_.substr(0, size);
    text_.remove_prefix(size);
    SkipSpace();
    return value;
  }

  bool at_end() const { return text_.empty(); }

 private:
  void SkipSpace() {
    const std::size_t begin = text_.find_first_not_of(kJsonSpace);
    text_.remove_prefix(std::min(begin, text_.size()));
  }

  // Size of the string that begins at `at`, with its quotes; 0 if it does not
  // end.
  std::size_t StringSize(std::size_t at) const {
    for (std::size_t end = at + 1; end < text_.size(); ++end) {
      if (text_[end] == '\\') {
        ++end;
      } else if (text_[end] == '"') {
        return end + 1 - at;
      }
    }
    return 0;
  }

  std::size_t ValueSize() const {
    if (text_.empty()) {
      return 0;
    }
    if (text_.front() == '"') {
      return StringSize(0);
    }
    if (text_.front() != '{' && text_.front() != '[') {
      return std::min(text_.find_first_of(",:]}{[\" \t\r\n"), text_.size());
    }
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text_.size(); ++at) {
      const char each = text_[at];
      if (each == '"') {
        const std::size_t size = StringSize(at);
        if (size == 0) {
          return 0;
        }
        at += size - 1;
      } else if (each == '{' || each == '[') {
        ++depth;
      } else if ((each == '}' || each == ']') && --depth == 0) {
        return at + 1;
      }
    }
    return 0;
  }

  std::string_view text_;
};

std::string_view WithoutQuotes(std::string_view text) {
  return text.size() < 2 ? std::string_view{} : text.substr(1, text.size() - 2);
}

// Appends a code point as UTF-8; a surrogate as if it were a character.
void AppendUtf8(std::string& bytes, std::uint32_t code) {
  const auto append = [&](std::uint32_t byte) {
    bytes += static_cast<char>(byte);
  };
  const auto continuation = [&](std::uint32_t shift) {
    append(0x80U | ((code >> shift) & 0x3fU));
  };
  if (code < 0x80U) {
    append(code);
  } else if (code < 0x800U) {
    append(0xc0U | (code >> 6U));
    continuation(0);
  } else if (code < 0x10000U) {
    append(0xe0U | (code >> 12U));
    continuation(6);
    continuation(0);
  } else {
    append(0xf0U | (code >> 18U));
    continuation(12);
    continuation(6);
    continuation(0);
  }
}

// Removes \uXXXX from the front of the text and returns its number, or nothing
// if the text does not begin with one.
std::optional<std::uint32_t> TakeUnicodeEscape(std::string_view& text) {
  constexpr std::size_t kDigits = 4;
  constexpr int kHexBase = 16;
  const std::string_view digits =
      text.starts_with("\\u") ? text.substr(2, kDigits) : "";
  std::uint32_t code = 0;
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), code, kHexBase);
  if (error != std::errc{} || digits.size() != kDigits ||
      end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  text.remove_prefix(2 + kDigits);
  return code;
}

// Removes an escape sequence from the front of the text and appends what it
// stands for. Returns false if it is not valid.
bool TakeEscape(std::string_view& text, std::string& bytes) {
  constexpr std::string_view kLetters = "\"\\/bfnrt";
  constexpr std::string_view kMeanings = "\"\\/\b\f\n\r\t";
  if (const auto code = TakeUnicodeEscape(text)) {
    std::string_view rest = text;
    const auto low = TakeUnicodeEscape(rest);
    const bool is_pair = *code >= 0xd800U && *code < 0xdc00U && low &&
                         *low >= 0xdc00U && *low < 0xe000U;
    if (is_pair) {
      text = rest;
    }
    AppendUtf8(bytes, is_pair ? 0x10000U + ((*code - 0xd800U) << 10U) +
                                    (*low - 0xdc00U)
                              : *code);
    return true;
  }
  const std::size_t letter =
      text.size() < 2 ? kLetters.npos : kLetters.find(text[1]);
  if (letter == kLetters.npos) {
    return false;
  }
  bytes += kMeanings[letter];
  text.remove_prefix(2);
  return true;
}

}  // namespace

std::optional<json_elements> SplitArray(std::string_view text) {
  json_cutter cutter(text);
  json_elements elements;
  if (!cutter.Skip('[')) {
    return std::nullopt;
  }
  if (!cutter.Skip(']')) {
    do {
      elements.push_back(cutter.TakeValue());
      if (elements.back().empty()) {
        return std::nullopt;
      }
    } while (cutter.Skip(','));
    if (!cutter.Skip(']')) {
      return std::nullopt;
    }
  }
  return cutter.at_end() ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<json_members> SplitObject(std::string_view text) {
  json_cutter cutter(text);
  json_members members;
  if (!cutter.Skip('{')) {
    return std::nullopt;
  }
  if (!cutter.Skip('}')) {
    do {
      const std::string_view key = cutter.TakeValue();
      if (!key.starts_with('"') || !cutter.Skip(':')) {
        return std::nullopt;
      }
      members.push_back({WithoutQuotes(key), cutter.TakeValue()});
      if (members.back().value.empty()) {
        return std::nullopt;
      }
    } while (cutter.Skip(','));
    if (!cutter.Skip('}')) {
      return std::nullopt;
    }
  }
  return cutter.at_end() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::string> StringBytes(std::string_view text) {
  if (text.size() < 2 || !text.starts_with('"') || !text.ends_with('"')) {
    return std::nullopt;
  }
  text = WithoutQuotes(text);
  std::string bytes;
  bytes.reserve(text.size());
  while (!text.empty()) {
    const std::string_view plain = text.substr(0, text.find('\\'));
    bytes += plain;
    text.remove_prefix(plain.size());
    if (!text.empty() && !TakeEscape(text, bytes)) {
      return std::nullopt;
    }
  }
  return bytes;
}

std::string_view FindValue(const json_members& members, std::string_view key) {
  // The last one of several counts, as in parsed objects.
  std::string_view value;
  for (const json_member& each : members) {
    if (each.key == key) {
      value = each.value;
    }
  }
  return value;
}

bool IsValidJson(std::string_view text) {
  json::basic_parser<json_checker> parser(ParseOptions(false));
  boost::system::error_code error;
  const std::size_t parsed =
      parser.write_some(false, text.data(), text.size(), error);
  return !error && parser.done() &&
         text.find_first_not_of(kJsonSpace, parsed) == text.npos;
}

std::string_view FindRawMember(std::string_view text, std::string_view key) {
  std::string_view found;
  json_cutter cutter(text);
  bool more = cutter.Skip('{') && !cutter.Skip('}');
  while (more) {
    const std::string_view name = cutter.TakeValue();
    cutter.Skip(':');
    const std::string_view value = cutter.TakeValue();
    if (WithoutQuotes(name) == key) {
      found = value;
    }
    more = cutter.Skip(',');
  }
  return found;
}

std::string CompactJson(std::string_view text) {
  std::string compact;
  compact.reserve(text.size());
  while (!text.empty()) {
    const std::string_view outside =
        text.substr(0, text.find_first_of("\" \t\r\n"));
    compact += outside;
    text.remove_prefix(outside.size());
    if (!text.empty() && text.front() == '"') {
      const std::string_view quoted = json_cutter(text).TakeValue();
      compact += quoted;
      text.remove_prefix(quoted.size());
    } else {
      text.remove_prefix(
          std::min(text.find_first_not_of(kJsonSpace), text.size()));
    }
  }
  return compact;
}

std::optional<json::value> ParseJson(std::string_view text) {
  return Parse(text, false);
}

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  const auto parsed = ParseJson(text);
  return parsed ? ToUnsigned(*parsed) : std::nullopt;
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
  return member == nullptr ? std::nullopt : ToUnsigned(*member);
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
