// Defines callers, threads that call gateways over connections which they keep
// open until the process behind is gone.
#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "soak/history.h"

namespace anvilloom::soak {

class callers {
 public:
  // `ports` are those of the gateways; 0 while one is down.
  callers(std::span<std::atomic<std::uint16_t>> ports,
          std::uint64_t seed,
          std::size_t threads,
          history& calls);
  ~callers() { Stop(); }

  void Stop();

 private:
  void Run(std::uint64_t seed);

  std::span<std::atomic<std::uint16_t>> ports_;
  history& calls_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> next_id_{0};
  std::vector<std::jthread> threads_;
};

}  // namespace anvilloom::soak

#endif  // SOAK_CALLERS_H_
