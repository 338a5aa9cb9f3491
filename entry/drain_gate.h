// Defines drain_gate, where whoever wants a planned stop meets the main
// thread: a signal, an operator's call, or a notice for this instance.
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
  // Asks for a stop that has ended by `until`. The earliest deadline counts.
  void Request(deadline until);
  // Waits until a stop is asked for.
  void Await();
  // Deadline of the stop; Never() if none is asked for.
  deadline until() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable requested_;
  std::optional<deadline> until_;
};

}  // namespace anvilloom

#endif  // ENTRY_DRAIN_GATE_H_
