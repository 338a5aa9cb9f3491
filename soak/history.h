// Defines history, what callers sent and got, and Check(), which compares it
// with what upstreams ran.
#ifndef SOAK_HISTORY_H_
#define SOAK_HISTORY_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace anvilloom::soak {

enum class call_kind : std::uint8_t { kOnce, kSafe, kStream };

// One call as its caller saw it.
struct call_record {
  std::string id;
  call_kind kind = call_kind::kSafe;
  // 0 if there was no whole answer.
  unsigned status = 0;
  std::string body;
  double took_s = 0;
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

// A broken promise, with the call that shows it.
struct violation {
  std::string promise;
  std::string id;
  std::string detail;
};

// `runs` holds the workspace of each run by request id. `longest_s` bounds the
// time in which each call must have ended.
std::vector<violation> CheckCalls(
    std::span<const call_record> records,
    const std::map<std::string, std::vector<std::string>>& runs,
    double longest_s);

// `duties` is the stand-in's list of the cloud's calls: one holder for each
// fencing number of a subject, and one set of counts for each window.
std::vector<violation> CheckDuties(std::string_view duties);

}  // namespace anvilloom::soak

#endif  // SOAK_HISTORY_H_
