// Defines usage_ledger, the count of requests that began to run for each
// workspace in each accounting window.
#ifndef CONTRACTS_USAGE_LEDGER_H_
#define CONTRACTS_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace anvilloom {

// Requests of one workspace in one window.
struct usage_count {
  std::uint64_t window = 0;
  std::string workspace;
  std::uint64_t requests = 0;

  friend bool operator==(const usage_count&, const usage_count&) = default;
};

// Thread-safe. Counted once for each request, beside its first token, so a
// short lock is enough.
class usage_ledger {
 public:
  // Windows that are kept; older ones are dropped as new ones come. Six windows
  // of five seconds outlast the time at which a report is due.
  static constexpr std::uint64_t kKeptWindows = 6;

  void Count(std::uint64_t window, std::string_view workspace);
  std::vector<usage_count> Counts() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t, std::less<>>>
      windows_;
};

}  // namespace anvilloom

#endif  // CONTRACTS_USAGE_LEDGER_H_
