// Defines idle_connections, the connections of one thread that wait for a
// request, in the order in which they began to wait.
#ifndef WIRE_IDLE_CONNECTIONS_H_
#define WIRE_IDLE_CONNECTIONS_H_

#include <atomic>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <limits>
#include <map>

#include "common/time.h"

namespace anvilloom {

// Used on the thread that serves the connections, but for idle_since().
class idle_connections {
 public:
  // Stands for one wait. Stays valid after the wait was ended from here.
  using wait_number = std::uint64_t;

  wait_number Add(boost::beast::tcp_stream& stream, time_point now);
  void Remove(wait_number wait);

  // Ends the longest wait; false if no connection waits.
  bool EndLongest();
  void EndAll();

  // When the longest wait began, or time_point::max() if none waits. From any
  // thread; may be out of date.
  time_point idle_since() const {
    return time_point(duration(idle_since_.load(std::memory_order_relaxed)));
  }

 private:
  struct waiting {
    boost::beast::tcp_stream* stream;
    time_point since;
  };

  void PublishLongest();

  std::map<wait_number, waiting> waiting_;
  wait_number next_ = 0;
  std::atomic<duration::rep> idle_since_{
      std::numeric_limits<duration::rep>::max()};
};

}  // namespace anvilloom

#endif  // WIRE_IDLE_CONNECTIONS_H_
