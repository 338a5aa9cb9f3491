#include "standins/load_history.h"

namespace anvilloom {

void load_history::Record(const load_report& now) {
  samples_.push_back({clock::now(), now});
  LaggedLoad();
}

load_report load_history::LaggedLoad() {
  const clock::time_point as_of = clock::now() - lag_;
  while (samples_.size() > 1 && samples_[1].at <= as_of) {
    samples_.pop_front();
  }
  return samples_.front().load;
}

}  // namespace anvilloom
