#include "contracts/usage_ledger.h"

namespace anvilloom {

void usage_ledger::Count(std::uint64_t window, std::string_view workspace) {
  const std::scoped_lock lock(mutex_);
  auto& counts = windows_[window];
  const auto found = counts.find(workspace);
  if (found == counts.end()) {
    counts.emplace(workspace, 1);
  } else {
    ++found->second;
  }
  while (windows_.size() > kKeptWindows) {
    windows_.erase(windows_.begin());
  }
}

std::vector<usage_count> usage_ledger::Counts() const {
  const std::scoped_lock lock(mutex_);
  std::vector<usage_count> counts;
  for (const auto& [window, by_workspace] : windows_) {
    for (const auto& [workspace, requests] : by_workspace) {
      counts.push_back({window, workspace, requests});
    }
  }
  return counts;
}

}  // namespace anvilloom
