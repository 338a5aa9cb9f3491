// Defines demand_estimate, how many engines the calls to a service keep busy.
#ifndef INSTANCES_DEMAND_ESTIMATE_H_
#define INSTANCES_DEMAND_ESTIMATE_H_

#include <cstdint>
#include <deque>

#include "common/time.h"

namespace anvilloom {

// Fed with the growing sum of the tokens that engines had to read. The estimate
// follows a rise within a second and a fall after kMemory, so that engines are
// not given back in a short lull.
class demand_estimate {
 public:
  // `read_tokens` is the sum so far; a fall means that a process restarted.
  // `engines` serve now.
  void Take(std::uint64_t read_tokens,
            std::uint32_t engines,
            double read_us_per_token,
            time_point now);

  // Engines' worth of reading per second of time.
  double busy_engines() const { return busy_; }

 private:
  // Before there was any call, engines are presumed to be this busy: the users'
  // sheets give 0.22 to 0.30 for the engines that they start with.
  static constexpr double kPresumedBusyShare = 0.25;
  // Traffic swings in about 40 s.
  static constexpr duration kMemory = std::chrono::seconds(20);
  static constexpr duration kSample = std::chrono::seconds(3);

  struct sample {
    time_point at;
    double busy = 0;
  };

  bool begun_ = false;
  std::uint64_t tokens_ = 0;
  time_point sampled_at_;
  double busy_ = 0;
  std::deque<sample> samples_;
};

}  // namespace anvilloom

#endif  // INSTANCES_DEMAND_ESTIMATE_H_
