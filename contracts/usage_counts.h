// Defines usage_counts, the request counts of all processes of the fleet for
// the latest accounting windows.
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
struct process_run {
  std::string name;
  // Start of the process, microseconds since 1970.
  std::uint64_t epoch = 0;

  friend bool operator==(const process_run&, const process_run&) = default;
  friend bool operator<(const process_run& left, const process_run& right) {
    return std::tie(left.name, left.epoch) < std::tie(right.name, right.epoch);
  }
};

// Counts only increase, so the larger of two values of the same process is the
// later one. Counts of processes that have ended are kept as long as their
// windows. The owner decides which windows are kept, because a process with a
// wrong clock may count in windows that are far from all others. Not
// thread-safe.
class usage_counts {
 public:
  // Requests of one window by workspace.
  using window_counts = std::map<std::string, std::uint64_t, std::less<>>;
  // Counts of one process by window.
  using process_counts = std::map<std::uint64_t, window_counts>;

  void Take(const process_run& process, std::span<const usage_count> counts);
  void Merge(const usage_counts& other);
  // Removes all windows outside [first, last].
  void RetainWindows(std::uint64_t first, std::uint64_t last);

  // Requests of a window by workspace, summed over all processes.
  window_counts Sum(std::uint64_t window) const;
  const std::map<process_run, process_counts>& processes() const {
    return processes_;
  }

  friend bool operator==(const usage_counts&, const usage_counts&) = default;

 private:
  void RaiseCount(const process_run& process, const usage_count& count);

  std::map<process_run, process_counts> processes_;
};

}  // namespace anvilloom

#endif  // CONTRACTS_USAGE_COUNTS_H_
