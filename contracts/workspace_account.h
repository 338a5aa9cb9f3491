// Defines workspace_account, the current usage of a workspace at this entry
// instance.
#ifndef CONTRACTS_WORKSPACE_ACCOUNT_H_
#define CONTRACTS_WORKSPACE_ACCOUNT_H_

#include <atomic>
#include <cstdint>

#include "contracts/decayed_counter.h"
#include "contracts/limiter.h"

namespace anvilloom {

// Thread-safe. Outlives the topologies that refer to it.
class workspace_account {
 public:
  limiter& limits() { return limits_; }

  // Counts an admitted request that is estimated to use `tokens` tokens.
  void Begin(std::uint32_t tokens, time_point now) {
    requests_.fetch_add(1, std::memory_order_relaxed);
    admitted_.Add(static_cast<float>(tokens), now);
  }
  // Counts an admitted call to a plain service, which uses no tokens.
  void BeginCall(time_point now) {
    requests_.fetch_add(1, std::memory_order_relaxed);
    admitted_calls_.Add(1, now);
  }
  // Ends a request counted by Begin() or BeginCall().
  void End() { requests_.fetch_sub(1, std::memory_order_relaxed); }

  std::uint32_t requests_in_flight() const {
    return requests_.load(std::memory_order_relaxed);
  }
  // Recently admitted estimated tokens, decayed as in decayed_counter.
  float admitted_tokens(time_point now) const { return admitted_.Value(now); }
  // Recently admitted calls to plain services, decayed likewise.
  float admitted_calls(time_point now) const {
    return admitted_calls_.Value(now);
  }

 private:
  limiter limits_;
  std::atomic<std::uint32_t> requests_{0};
  decayed_counter admitted_;
  decayed_counter admitted_calls_;
};

}  // namespace anvilloom

#endif  // CONTRACTS_WORKSPACE_ACCOUNT_H_
