// Defines demand_estimate, an estimate of how many engines the calls to a
// service keep busy.
#ifndef INSTANCES_DEMAND_ESTIMATE_H_
#define INSTANCES_DEMAND_ESTIMATE_H_

#include <cstdint>
#include <deque>

#include "common/time.h"

namespace anvilloom {

// Computed from the cumulative number of prompt tokens that engines had to
// process. The estimate is the maximum over the samples of the last
// kSampleWindow: it follows an increase with the next sample, and a decrease
// only after kSampleWindow, so that engines are not released during a short
// lull. Not thread-safe.
class demand_estimate {
 public:
  // Adds a sample if kSampleInterval has passed since the last one.
  // `read_tokens` is the cumulative count; a decrease means that a process
  // has restarted, and the sample then counts no new tokens. `engines` is the
  // number of engines that serve now.
  void Take(std::uint64_t read_tokens,
            std::uint32_t engines,
            double prefill_us_per_token,
            time_point now);

  // Seconds of engine time that prompt processing needs per second.
  double busy_engines() const { return busy_engines_; }

 private:
  // Utilization assumed before the first call. The user requirements give 0.22
  // to 0.30 for the initial engines.
  static constexpr double kInitialUtilization = 0.25;
  // Traffic fluctuates with a period of about 40 s.
  static constexpr duration kSampleWindow = std::chrono::seconds(20);
  static constexpr duration kSampleInterval = std::chrono::seconds(3);

  struct sample {
    time_point at;
    double busy = 0;
  };

  bool initialized_ = false;
  std::uint64_t last_tokens_ = 0;
  time_point sampled_at_;
  double busy_engines_ = 0;
  std::deque<sample> samples_;
};

}  // namespace anvilloom

#endif  // INSTANCES_DEMAND_ESTIMATE_H_
