// Defines callers, threads that send calls to gateways over persistent
// connections, which they keep open until the gateway closes them.
#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "soak/history.h"

namespace anvilloom::soak {

// Runs from its construction to Stop(). `calls` must outlive it.
class callers {
 public:
  // `ports` holds the port of each gateway, 0 while the gateway is down.
  callers(std::span<std::atomic<std::uint16_t>> ports,
          std::uint64_t seed,
          std::size_t threads,
          history& calls);
  ~callers() { Stop(); }

  // Ends the threads after their current calls.
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
