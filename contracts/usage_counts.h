// Defines usage_counts, what each process of the fleet has counted in the
// latest accounting windows.
#ifndef CONTRACTS_USAGE_COUNTS_H_
#define CONTRACTS_USAGE_COUNTS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tuple>

#include "contracts/usage_ledger.h"

namespace anvilloom {

// One run of an entry instance's process.
struct counting_process {
  std::string name;
  // Start of the process, microseconds since 1970.
  std::uint64_t epoch = 0;

  friend bool operator==(const counting_process&,
                         const counting_process&) = default;
  friend bool operator<(const counting_process& left,
                        const counting_process& right) {
    return std::tie(left.name, left.epoch) < std::tie(right.name, right.epoch);
  }
};

// Counts only grow, so the larger of two values of the same process is the
// later one. Counts of processes that have ended stay while their windows are
// kept. Which windows those are is the owner's decision: a process with a wrong
// clock may count in windows that are far from all others.
class usage_counts {
 public:
  // Requests by workspace, and those by window.
  using window_counts = std::map<std::string, std::uint64_t, std::less<>>;
  using process_counts = std::map<std::uint64_t, window_counts>;

  void Take(const counting_process& process,
            std::span<const usage_count> counts);
  void Merge(const usage_counts& other);
  // Forgets the windows outside of these.
  void KeepOnly(std::uint64_t first, std::uint64_t last);

  // Requests of a window by workspace, over all processes.
  window_counts Sum(std::uint64_t window) const;
  const std::map<counting_process, process_counts>& processes() const {
    return processes_;
  }

  friend bool operator==(const usage_counts&, const usage_counts&) = default;

 private:
  void Raise(const counting_process& process, const usage_count& count);

  std::map<counting_process, process_counts> processes_;
};

}  // namespace anvilloom

#endif  // CONTRACTS_USAGE_COUNTS_H_
