#include "wire/idle_connections.h"

namespace anvilloom {

idle_connections::wait_id idle_connections::Add(
    boost::beast::tcp_stream& stream,
    time_point now) {
  const wait_id wait = next_++;
  waiting_.emplace_hint(waiting_.end(), wait, waiting{&stream, now});
  PublishIdleSince();
  return wait;
}

void idle_connections::Remove(wait_id wait) {
  if (waiting_.erase(wait) > 0) {
    PublishIdleSince();
  }
}

boost::beast::tcp_stream* idle_connections::CancelLongest() {
  if (waiting_.empty()) {
    return nullptr;
  }
  const auto longest = waiting_.begin();
  boost::beast::tcp_stream* stream = longest->second.stream;
  stream->cancel();
  waiting_.erase(longest);
  PublishIdleSince();
  return stream;
}

void idle_connections::CancelAll() {
  while (CancelLongest() != nullptr) {
  }
}

void idle_connections::PublishIdleSince() {
  const time_point since =
      waiting_.empty() ? time_point::max() : waiting_.begin()->second.since;
  idle_since_.store(since.time_since_epoch().count(),
                    std::memory_order_relaxed);
}

}  // namespace anvilloom
