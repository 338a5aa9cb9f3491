// Defines load_history, which returns the load of the engine stand-in with a
// fixed lag, like the load reports of a real engine.
#ifndef STANDINS_LOAD_HISTORY_H_
#define STANDINS_LOAD_HISTORY_H_

#include <chrono>
#include <deque>

#include "links/link.h"

namespace anvilloom {

// Not thread-safe.
class load_history {
 public:
  using clock = std::chrono::steady_clock;

  explicit load_history(std::chrono::microseconds lag) : lag_(lag) {}

  void Record(const load_report& now);
  // Returns the load as it was one lag ago.
  load_report LaggedLoad();

 private:
  struct sample {
    clock::time_point at;
    load_report load;
  };

  std::chrono::microseconds lag_;
  std::deque<sample> samples_ = {{}};
};

}  // namespace anvilloom

#endif  // STANDINS_LOAD_HISTORY_H_
