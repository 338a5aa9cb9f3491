// Defines line_splitter, which splits a byte stream into lines. It is used for
// watches and server-sent events.
#ifndef WIRE_LINE_SPLITTER_H_
#define WIRE_LINE_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// Not thread-safe.
class line_splitter {
 public:
  // Appends the next bytes of the stream. Invalidates views returned by
  // NextLine().
  void Append(std::string_view piece);

  // Returns the next complete line without its terminator, or nullopt if there
  // is none yet.
  std::optional<std::string_view> NextLine();

 private:
  std::string buffer_;
  std::size_t begin_ = 0;
};

}  // namespace anvilloom

#endif  // WIRE_LINE_SPLITTER_H_
