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
// kSampleWindow, at the current prefill time: it follows an increase with the
// next sample, and a decrease only after kSampleWindow, so that engines are not
// released during a short lull. Not thread-safe.
class demand_estimate {
 public:
  // The load of a service at one time.
  struct load {
    // Cumulative number of prompt tokens that engines had to process. A
    // decrease means that a process has restarted; the sample then counts no
    // new tokens.
    std::uint64_t read_tokens = 0;
    double prefill_us_per_token = 0;
    // Number of engines that serve now.
    std::uint32_t engines = 0;
    // Number of engines whose slots the running requests would fill.
    double full_engines = 0;
  };

  // Adds a sample if kSampleInterval has passed since the last one.
  void Take(const load& current, time_point now);

  // Number of engines that the load keeps busy, either with prompt processing
  // or because their slots are taken, whichever is more.
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
    // Prompt tokens per microsecond, and the least number of busy engines.
    double rate = 0;
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
