// Defines drain_gate, through which a signal, an operator or a reclaim notice
// asks the main thread for a planned stop.
#ifndef ENTRY_DRAIN_GATE_H_
#define ENTRY_DRAIN_GATE_H_

#include <condition_variable>
#include <mutex>
#include <optional>

#include "common/time.h"

namespace anvilloom {

// Thread-safe.
class drain_gate {
 public:
  // Requests a stop that completes by `until`. The earliest requested deadline
  // applies.
  void Request(deadline until);
  // Blocks until a stop is requested.
  void Await();
  // Returns the deadline of the stop, or Never() if none was requested.
  deadline until() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable requested_;
  std::optional<deadline> until_;
};

}  // namespace anvilloom

#endif  // ENTRY_DRAIN_GATE_H_
