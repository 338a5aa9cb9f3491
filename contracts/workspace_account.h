// Defines workspace_account, what a workspace is using at this entry instance.
#ifndef CONTRACTS_WORKSPACE_ACCOUNT_H_
#define CONTRACTS_WORKSPACE_ACCOUNT_H_

#include <atomic>
#include <cstdint>

#include "contracts/limiter.h"

namespace anvilloom {

// Shared by all threads; outlives the topologies that refer to it.
class workspace_account {
 public:
  limiter& limits() { return limits_; }

  // Counts a request of `tokens` estimated tokens as in flight.
  void Begin(std::uint32_t tokens) {
    requests_.fetch_add(1, std::memory_order_relaxed);
    tokens_.fetch_add(tokens, std::memory_order_relaxed);
  }
  // Ends what Begin() counted, with the same estimate.
  void End(std::uint32_t tokens) {
    requests_.fetch_sub(1, std::memory_order_relaxed);
    tokens_.fetch_sub(tokens, std::memory_order_relaxed);
  }

  std::uint32_t requests_in_flight() const {
    return requests_.load(std::memory_order_relaxed);
  }
  std::uint64_t tokens_in_flight() const {
    return tokens_.load(std::memory_order_relaxed);
  }

 private:
  limiter limits_;
  std::atomic<std::uint32_t> requests_{0};
  std::atomic<std::uint64_t> tokens_{0};
};

}  // namespace anvilloom

#endif  // CONTRACTS_WORKSPACE_ACCOUNT_H_
