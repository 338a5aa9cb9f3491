// Defines event_splitter, which cuts the body of a stream into whole events.
#ifndef LINKS_EVENT_SPLITTER_H_
#define LINKS_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace anvilloom {

// An upstream may stop in the middle of an event. Only whole events go to the
// caller, so that another upstream can go on behind the last one.
class event_splitter {
 public:
  void Append(std::string_view bytes) { pending_.append(bytes); }

  // The whole events that have arrived; empty if there are none. The view is
  // valid until the next call of Append() or Drop().
  std::string_view WholeEvents() const;
  // Removes the whole events, and notes the id of the last one.
  void Drop();

  // Whether part of an event is left.
  bool HasPart() const { return !pending_.empty(); }
  // The id of the last event that was dropped; empty if none had one.
  const std::string& last_id() const { return last_id_; }
  // Forgets the part of an event that an upstream left unfinished.
  void DiscardPart() { pending_.clear(); }

 private:
  std::string pending_;
  std::string last_id_;
};

}  // namespace anvilloom

#endif  // LINKS_EVENT_SPLITTER_H_
