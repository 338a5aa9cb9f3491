// Defines event_splitter, which splits the body of a stream into complete
// events.
#ifndef LINKS_EVENT_SPLITTER_H_
#define LINKS_EVENT_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace anvilloom {

// An upstream may fail in the middle of an event. Only complete events are
// forwarded to the caller, so that another upstream can resume after the last
// one. Not thread-safe.
class event_splitter {
 public:
  // Examines only the new bytes: an upstream may send an event without end.
  void Append(std::string_view bytes);

  // Returns the complete events that have arrived, or an empty view. The view
  // is valid until the next call of Append() or ConsumeEvents().
  std::string_view CompleteEvents() const;
  // Removes the complete events and records the id of the last one.
  void ConsumeEvents();

  // Whether data is buffered; after ConsumeEvents(), an incomplete event.
  bool HasIncompleteEvent() const { return !pending_.empty(); }
  std::size_t pending_bytes() const { return pending_.size(); }
  // The id of the last event that ConsumeEvents() removed; empty if none had an
  // id.
  const std::string& last_id() const { return last_id_; }
  // Discards the incomplete event of an upstream that failed.
  void DiscardIncompleteEvent() {
    pending_ = std::string();
    complete_bytes_ = 0;
  }

 private:
  std::string pending_;
  // Size of the complete events at the front of pending_.
  std::size_t complete_bytes_ = 0;
  std::string last_id_;
};

}  // namespace anvilloom

#endif  // LINKS_EVENT_SPLITTER_H_
