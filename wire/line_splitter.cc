#include "wire/line_splitter.h"

namespace anvilloom {

void line_splitter::Append(std::string_view piece) {
  buffer_.erase(0, begin_);
  begin_ = 0;
  buffer_.append(piece);
}

std::optional<std::string_view> line_splitter::NextLine() {
  const std::size_t end = buffer_.find('\n', begin_);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string_view line(buffer_.data() + begin_, end - begin_);
  begin_ = end + 1;
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace anvilloom
