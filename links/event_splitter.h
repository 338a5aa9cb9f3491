// Defines event_splitter, which splits the body of a stream into complete
// events.
#ifndef LINKS_EVENT_SPLITTER_H_
#define LINKS_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace anvilloom {

// An upstream may fail in the middle of an event. Only complete events are
// forwarded to the caller, so that another upstream can resume after the last
// one. Not thread-safe.
class event_splitter {
 public:
  void Append(std::string_view bytes) { pending_.append(bytes); }

  // Returns the complete events that have arrived, or an empty view. The view
  // is valid until the next call of Append() or Drop().
  std::string_view WholeEvents() const;
  // Removes the complete events and records the id of the last one.
  void Drop();

  // Whether data is buffered; after Drop(), an incomplete event.
  bool HasPart() const { return !pending_.empty(); }
  // The id of the last event that Drop() removed; empty if none had an id.
  const std::string& last_id() const { return last_id_; }
  // Discards the incomplete event of an upstream that failed.
  void DiscardPart() { pending_.clear(); }

 private:
  std::string pending_;
  std::string last_id_;
};

}  // namespace anvilloom

#endif  // LINKS_EVENT_SPLITTER_H_
