// Defines idle_connections, the connections of one thread that wait for a
// request, ordered by the start of their wait.
#ifndef WIRE_IDLE_CONNECTIONS_H_
#define WIRE_IDLE_CONNECTIONS_H_

#include <atomic>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <limits>
#include <map>

#include "common/time.h"

namespace anvilloom {

// Must be used on the thread that serves the connections, except idle_since().
class idle_connections {
 public:
  // Identifies a wait. May still be passed to Remove() after the wait was
  // cancelled.
  using wait_id = std::uint64_t;

  wait_id Add(boost::beast::tcp_stream& stream, time_point now);
  void Remove(wait_id wait);

  // Cancels the longest wait; returns its stream, or null if no connection is
  // waiting.
  boost::beast::tcp_stream* CancelLongest();
  void CancelAll();

  // Start of the longest wait, or time_point::max() if no connection is
  // waiting. Thread-safe; may be out of date.
  time_point idle_since() const {
    return time_point(duration(idle_since_.load(std::memory_order_relaxed)));
  }

 private:
  struct waiting {
    boost::beast::tcp_stream* stream;
    time_point since;
  };

  void PublishIdleSince();

  std::map<wait_id, waiting> waiting_;
  wait_id next_ = 0;
  std::atomic<duration::rep> idle_since_{
      std::numeric_limits<duration::rep>::max()};
};

}  // namespace anvilloom

#endif  // WIRE_IDLE_CONNECTIONS_H_
