// Defines usage_ledger, which counts the requests that began to run for each
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

// Thread-safe. Uses a mutex, because each request is counted only once, when
// its first token arrives, and the lock is short.
class usage_ledger {
 public:
  // Number of windows kept; the oldest is dropped when a new one begins. Six
  // windows of five seconds cover the time until a usage report is due.
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
