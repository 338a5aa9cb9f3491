#include "links/event_splitter.h"

#include <algorithm>

namespace anvilloom {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the end of the last complete event, which is terminated by an empty
// line. Accepts both LF and CRLF line endings.
std::size_t EndOfCompleteEvents(std::string_view text) {
  const std::size_t plain = text.rfind("\n\n");
  const std::size_t crlf = text.rfind("\r\n\r\n");
  const std::size_t after_plain = plain == text.npos ? 0 : plain + 2;
  const std::size_t after_crlf = crlf == text.npos ? 0 : crlf + 4;
  return std::max(after_plain, after_crlf);
}

// Returns the value of the last id line, or an empty view.
std::string_view LastId(std::string_view events) {
  std::size_t at = events.rfind(kIdField);
  while (at != events.npos && at != 0 && events[at - 1] != '\n') {
    at = events.rfind(kIdField, at - 1);
  }
  if (at == events.npos) {
    return {};
  }
  std::string_view value = events.substr(at + kIdField.size());
  value = value.substr(0, value.find_first_of("\r\n"));
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return value;
}

}  // namespace

void event_splitter::Append(std::string_view bytes) {
  // The end of an event may have begun in the bytes before.
  constexpr std::size_t kLongestEnd = 4;
  const std::size_t begin =
      pending_.size() - std::min(pending_.size(), kLongestEnd - 1);
  pending_.append(bytes);
  const std::size_t end =
      EndOfCompleteEvents(std::string_view(pending_).substr(begin));
  if (end > 0) {
    complete_bytes_ = begin + end;
  }
}

std::string_view event_splitter::CompleteEvents() const {
  return std::string_view(pending_).substr(0, complete_bytes_);
}

void event_splitter::ConsumeEvents() {
  const std::string_view events = CompleteEvents();
  const std::string_view id = LastId(events);
  if (!id.empty()) {
    last_id_ = id;
  }
  pending_.erase(0, events.size());
  complete_bytes_ = 0;
}

}  // namespace anvilloom
