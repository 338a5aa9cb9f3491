#include "wire/idle_connections.h"

namespace anvilloom {

idle_connections::wait_number idle_connections::Add(
    boost::beast::tcp_stream& stream,
    time_point now) {
  const wait_number wait = next_++;
  waiting_.emplace_hint(waiting_.end(), wait, waiting{&stream, now});
  PublishLongest();
  return wait;
}

void idle_connections::Remove(wait_number wait) {
  if (waiting_.erase(wait) > 0) {
    PublishLongest();
  }
}

bool idle_connections::EndLongest() {
  if (waiting_.empty()) {
    return false;
  }
  const auto longest = waiting_.begin();
  longest->second.stream->cancel();
  waiting_.erase(longest);
  PublishLongest();
  return true;
}

void idle_connections::EndAll() {
  while (EndLongest()) {
  }
}

void idle_connections::PublishLongest() {
  const time_point since =
      waiting_.empty() ? time_point::max() : waiting_.begin()->second.since;
  idle_since_.store(since.time_since_epoch().count(),
                    std::memory_order_relaxed);
}

}  // namespace anvilloom
