// Defines line_splitter, which cuts a byte stream that arrives in pieces into
// lines. Watches and server-sent events are read through it.
#ifndef WIRE_LINE_SPLITTER_H_
#define WIRE_LINE_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// Not thread-safe.
class line_splitter {
 public:
  // Adds the next piece. Invalidates views that NextLine() returned.
  void Append(std::string_view piece);

  // The next whole line without its line end; nothing until more arrives.
  std::optional<std::string_view> NextLine();

 private:
  std::string buffer_;
  std::size_t begin_ = 0;
};

}  // namespace anvilloom

#endif  // WIRE_LINE_SPLITTER_H_
