#include "common/printable_text.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace anvilloom {

namespace {

constexpr unsigned char kDelete = 0x7f;

unsigned char ByteAt(std::string_view text, std::size_t at) {
  return static_cast<unsigned char>(text[at]);
}

bool IsContinuation(unsigned char byte) {
  return (byte & 0xc0U) == 0x80U;
}

bool IsAsciiControl(unsigned char byte) {
  return byte < ' ' || byte == kDelete;
}

// The first bytes of UTF-8 characters, and the range of the byte that follows:
// shorter encodings, surrogates and values above U+10FFFF are not valid.
struct utf8_lead {
  unsigned char first;
  unsigned char last;
  unsigned char second_min;
  unsigned char second_max;
  std::size_t size;
};

// The characters from U+0080 to U+009F are control characters, too.
constexpr std::array<utf8_lead, 9> kPrintableLeads = {{
    {0xc2, 0xc2, 0xa0, 0xbf, 2},
    {0xc3, 0xdf, 0x80, 0xbf, 2},
    {0xe0, 0xe0, 0xa0, 0xbf, 3},
    {0xe1, 0xec, 0x80, 0xbf, 3},
    {0xed, 0xed, 0x80, 0x9f, 3},
    {0xee, 0xef, 0x80, 0xbf, 3},
    {0xf0, 0xf0, 0x90, 0xbf, 4},
    {0xf1, 0xf3, 0x80, 0xbf, 4},
    {0xf4, 0xf4, 0x80, 0x8f, 4},
}};

// Returns the size of the printable character at the start of the text, which
// is not empty; 0 if there is none.
std::size_t PrintableSize(std::string_view text) {
  const unsigned char first = ByteAt(text, 0);
  if (first < 0x80) {
    return IsAsciiControl(first) ? 0 : 1;
  }
  const auto* const lead =
      std::ranges::find_if(kPrintableLeads, [&](const utf8_lead& each) {
        return first >= each.first && first <= each.last;
      });
  if (lead == kPrintableLeads.end() || text.size() < lead->size ||
      ByteAt(text, 1) < lead->second_min ||
      ByteAt(text, 1) > lead->second_max) {
    return 0;
  }
  for (std::size_t at = 2; at < lead->size; ++at) {
    if (!IsContinuation(ByteAt(text, at))) {
      return 0;
    }
  }
  return lead->size;
}

}  // namespace

std::string_view CutText(std::string_view text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) {
    return text;
  }
  while (max_bytes > 0 && IsContinuation(ByteAt(text, max_bytes))) {
    --max_bytes;
  }
  return text.substr(0, max_bytes);
}

std::string ToPrintable(std::string_view text) {
  std::string printable;
  printable.reserve(text.size());
  while (!text.empty()) {
    const std::size_t size = PrintableSize(text);
    if (size > 0) {
      printable += text.substr(0, size);
    } else {
      std::array<char, 5> escape{};
      std::snprintf(escape.data(), escape.size(), "\\x%02x", ByteAt(text, 0));
      printable += escape.data();
    }
    text.remove_prefix(std::max<std::size_t>(size, 1));
  }
  return printable;
}

}  // namespace anvilloom
