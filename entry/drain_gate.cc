#include "entry/drain_gate.h"

namespace anvilloom {

void drain_gate::Request(deadline until) {
  {
    const std::lock_guard lock(mutex_);
    until_ = until_ ? until_->Earlier(until) : until;
  }
  requested_.notify_all();
}

void drain_gate::Await() {
  std::unique_lock lock(mutex_);
  requested_.wait(lock, [this] { return until_.has_value(); });
}

deadline drain_gate::until() const {
  const std::lock_guard lock(mutex_);
  return until_.value_or(deadline::Never());
}

}  // namespace anvilloom
