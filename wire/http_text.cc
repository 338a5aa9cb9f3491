#include "wire/http_text.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace anvilloom {

namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::size_t kEscapeDigits = 2;
constexpr int kHexBase = 16;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char each : text) {
    if (kUnreserved.find(each) != kUnreserved.npos) {
      encoded += each;
    } else {
      const auto byte = static_cast<unsigned char>(each);
      encoded += '%';
      encoded += kHexDigits[byte / kHexBase];
      encoded += kHexDigits[byte % kHexBase];
    }
  }
  return encoded;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  while (!text.empty()) {
    const std::string_view digits =
        text.front() == '%' ? text.substr(1, kEscapeDigits) : "";
    unsigned char byte = 0;
    const auto [end, error] = std::from_chars(
        digits.data(), digits.data() + digits.size(), byte, kHexBase);
    const bool escaped = error == std::errc{} &&
                         end == digits.data() + digits.size() &&
                         digits.size() == kEscapeDigits;
    decoded += escaped ? static_cast<char>(byte) : text.front();
    text.remove_prefix(escaped ? 1 + kEscapeDigits : 1);
  }
  return decoded;
}

std::string DecodeQueryText(std::string_view text) {
  std::string spaced(text);
  std::ranges::replace(spaced, '+', ' ');
  return PercentDecode(spaced);
}

bool IsPathSegment(std::string_view name) {
  return !name.empty() && name != "." && name != "..";
}

bool IsHeaderValue(std::string_view text) {
  return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
         std::ranges::none_of(text, [](char each) {
           const auto byte = static_cast<unsigned char>(each);
           return byte < ' ' || byte == kDelete;
         });
}

}  // namespace anvilloom
