// Defines pace_watch, which finds the upstreams that begin or cease to get less
// than their usual share of the calls, and those that state a slow-down.
#ifndef LINKS_PACE_WATCH_H_
#define LINKS_PACE_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "links/pooled_upstream.h"

namespace anvilloom {

// Why the calls to an upstream are no longer limited.
enum class pace_end : std::uint8_t {
  kNone,      // They are limited from now on.
  kAnswers,   // It answers like the others, or as it always does.
  kNoOthers,  // Most of the service would be limited, which nobody is then.
  kGone,      // It gets no calls any more.
};
std::string_view Name(pace_end end);

struct pace_change {
  std::string upstream;
  std::string service;
  pace_end end = pace_end::kNone;
  pace_state state;
  bool cold = false;
  // Time for which the calls were limited; zero at the start.
  duration took{0};
  // Changes before this one that were left out.
  std::uint64_t left_out = 0;
};

// The slow-downs that upstreams of a service have stated since the last time.
struct stated_slowdown {
  std::string service;
  std::uint32_t upstreams = 0;
  // The largest one.
  std::string slowest;
  std::uint32_t permille = 0;
};

// Not thread-safe.
class pace_watch {
 public:
  using pools = std::map<std::string, upstream_pool, std::less<>>;

  // Further changes in an interval are left out: after a loss of a failure
  // domain, all upstreams of one recover at once.
  static constexpr std::size_t kChangesPerInterval = 20;
  static constexpr duration kInterval = std::chrono::seconds(10);

  // Returns the changes since the last call, in order of service and upstream.
  std::vector<pace_change> FindChanges(const pools& current, time_point now);
  // Returns a service at most once in an interval.
  std::vector<stated_slowdown> FindSlowdowns(const pools& current,
                                             time_point now);

 private:
  struct limited {
    std::shared_ptr<const pooled_upstream> upstream;
    time_point since;
  };

  void Add(pace_change change, time_point now, std::vector<pace_change>& found);

  std::map<std::uint64_t, limited> limited_;
  deadline interval_end_ = deadline(time_point::min());
  std::size_t found_in_interval_ = 0;
  std::uint64_t left_out_ = 0;
  std::map<std::string, deadline, std::less<>> next_slowdown_;
};

}  // namespace anvilloom

#endif  // LINKS_PACE_WATCH_H_
