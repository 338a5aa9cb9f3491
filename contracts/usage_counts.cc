#include "contracts/usage_counts.h"

#include <algorithm>

namespace anvilloom {

void usage_counts::Take(const process_run& process,
                        std::span<const usage_count> counts) {
  for (const usage_count& count : counts) {
    RaiseCount(process, count);
  }
}

void usage_counts::Merge(const usage_counts& other) {
  for (const auto& [process, windows] : other.processes_) {
    for (const auto& [window, by_workspace] : windows) {
      for (const auto& [workspace, requests] : by_workspace) {
        RaiseCount(process, {window, workspace, requests});
      }
    }
  }
}

void usage_counts::RaiseCount(const process_run& process,
                              const usage_count& count) {
  std::uint64_t& known = processes_[process][count.window][count.workspace];
  known = std::max(known, count.requests);
}

void usage_counts::RetainWindows(std::uint64_t first, std::uint64_t last) {
  for (auto& [process, windows] : processes_) {
    windows.erase(windows.begin(), windows.lower_bound(first));
    windows.erase(windows.upper_bound(last), windows.end());
  }
  std::erase_if(processes_,
                [](const auto& entry) { return entry.second.empty(); });
}

usage_counts::window_counts usage_counts::Sum(std::uint64_t window) const {
  window_counts sums;
  for (const auto& [process, windows] : processes_) {
    const auto found = windows.find(window);
    if (found == windows.end()) {
      continue;
    }
    for (const auto& [workspace, requests] : found->second) {
      sums[workspace] += requests;
    }
  }
  return sums;
}

}  // namespace anvilloom
