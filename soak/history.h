// Defines history, the record of the calls of a soak run, and the functions
// that check it against the executions at the upstreams.
#ifndef SOAK_HISTORY_H_
#define SOAK_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace anvilloom::soak {

// The route of a call: executed at most once, safe to repeat, or a stream.
enum class call_kind : std::uint8_t { kOnce, kSafe, kStream };

// A call as observed by its caller.
struct call_record {
  std::string id;
  call_kind kind = call_kind::kSafe;
  // 0 if there was no complete response.
  unsigned status = 0;
  std::string body;
  // The gateway that was called, counted from 0.
  std::size_t gateway = 0;
  std::chrono::steady_clock::time_point began_at;
  double duration_s = 0;
};

// The time in which the process of a gateway was stopped by a signal.
struct process_pause {
  std::size_t gateway = 0;
  std::chrono::steady_clock::time_point from;
  std::chrono::steady_clock::time_point to;
};

// Thread-safe.
class history {
 public:
  void Add(call_record record);
  std::vector<call_record> Records() const;

 private:
  mutable std::mutex mutex_;
  std::vector<call_record> records_;
};

// A violated guarantee and the call, upstream or gateway that shows it.
struct violation {
  std::string promise;
  std::string id;
  std::string detail;
};

// Checks the calls against `runs`, which maps each request id to the workspaces
// of its executions. Each call must have ended within `max_duration_s` seconds,
// less the time in which its gateway was paused and could not answer.
std::vector<violation> CheckCalls(
    std::span<const call_record> records,
    std::span<const process_pause> pauses,
    const std::map<std::string, std::vector<std::string>>& runs,
    double max_duration_s);

// Checks `duties`, the stand-in's list of the calls to the cloud API (JSON
// text): each fencing number of a subject has one holder, and each window has
// one set of counts.
std::vector<violation> CheckDuties(std::string_view duties);

}  // namespace anvilloom::soak

#endif  // SOAK_HISTORY_H_
