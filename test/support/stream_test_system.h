// Defines stream_test_system, a local_system with engines, an instance API and
// one entry instance, for tests of streams that survive faults of upstreams.
#ifndef TEST_SUPPORT_STREAM_TEST_SYSTEM_H_
#define TEST_SUPPORT_STREAM_TEST_SYSTEM_H_

#include <cstdint>
#include <future>
#include <string>
#include <string_view>
#include <vector>

#include "test/support/local_system.h"

namespace anvilloom {

// What a caller received of one stream.
struct streamed_answer {
  unsigned status = 0;
  std::string text;
  std::uint32_t tokens = 0;
  // Whether the token indices are consecutive.
  bool consecutive = true;
  // Whether the end marker was received.
  bool ended = false;
};

// Reads the server-sent events of a whole stream.
streamed_answer ReadEvents(const caller_answer& answer);

// The processes and settings of a stream_test_system.
struct stream_test_system_options {
  // Arguments for each engine.
  std::vector<std::vector<std::string>> engines;
  // Appended to the settings of the entry instance.
  std::string settings;
  // Members of the service "plan", for example {"priority":"batch"}.
  std::string service = "{}";
  std::string list_lag_ms = "0";
};

class stream_test_system {
 public:
  explicit stream_test_system(const stream_test_system_options& options);

  // The name of engine `number`, counted from 1. Its upstream, its instance and
  // its process have the same name.
  static std::string EngineName(std::size_t number);
  child_process& engine(std::size_t number);
  // Sends a request to engine `number` itself.
  caller_answer CallEngine(std::size_t number,
                           std::string_view path,
                           std::string_view body) const;
  // Adds a fault rule for chat completions (standins/fault_injector.h).
  void AddFault(std::size_t number, std::string_view rule) const;
  void AddReclaimNotice(std::size_t number,
                        std::uint32_t until_reclaim_ms) const;

  streamed_answer Stream(std::string_view prompt,
                         std::uint32_t tokens,
                         std::uint32_t timeout_ms = 60'000) const;
  std::future<streamed_answer> StreamAsync(std::string prompt,
                                           std::uint32_t tokens) const;

  // Sends as many concurrent warm-up requests as there are engines, so that the
  // entry instance learns the model version of each.
  void WarmUpEngines();

  // Sum over threads of a metric without its prefix "anvilloom_".
  double Metric(std::string_view name) const;
  // The condition of engine `number`, from the state dump.
  std::string Condition(std::size_t number) const;
  // The number of the engine at which the entry instance has the most
  // outstanding requests, or 0 if it has none.
  std::size_t BusiestEngine() const;
  // Requests that the entry instance has outstanding at engine `number`.
  std::uint64_t Outstanding(std::size_t number) const;
  // Waits until any stream in the state dump has at least `tokens` tokens;
  // false after 20 s.
  bool AwaitTokens(std::uint64_t tokens) const;
  // Number of completion requests that engine `number` has received.
  std::uint64_t RequestCount(std::size_t number) const;
  local_system& system() { return system_; }
  std::size_t engines() const { return engines_; }

 private:
  std::string Link(std::size_t number, std::string_view member) const;

  local_system system_;
  std::uint16_t entry_port_ = 0;
  std::size_t engines_;
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_STREAM_TEST_SYSTEM_H_
