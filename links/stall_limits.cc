#include "links/stall_limits.h"

#include <algorithm>

namespace anvilloom {

namespace {

// Multiples of the contract's targets. Classes that wait longer in an engine's
// queue have larger factors.
struct stall_factors {
  int first_token;
  int token_interval;
};

constexpr stall_factors kInteractiveFactors = {4, 20};
constexpr stall_factors kNormalFactors = {8, 40};
constexpr stall_factors kBatchFactors = {32, 200};
// A shorter time without data can be a pause of this process or of the network.
constexpr duration kMinFirstTokenLimit = std::chrono::seconds(2);
constexpr duration kMinTokenIntervalLimit = std::chrono::seconds(1);

stall_factors FactorsOf(priority priority_class) {
  switch (priority_class) {
    case priority::kInteractive:
      return kInteractiveFactors;
    case priority::kNormal:
      return kNormalFactors;
    case priority::kBatch:
      return kBatchFactors;
  }
  return kNormalFactors;
}

}  // namespace

stall_limits StallLimitsOf(const contract& terms) {
  const stall_factors factors = FactorsOf(terms.priority_class);
  return {std::max(terms.first_token_target * factors.first_token,
                   kMinFirstTokenLimit),
          std::max(terms.token_interval_target * factors.token_interval,
                   kMinTokenIntervalLimit)};
}

}  // namespace anvilloom
