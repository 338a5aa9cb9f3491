// Defines link, the path from this entry instance to one upstream: the work
// outstanding on it, the latest load report and the upstream's condition.
#ifndef LINKS_LINK_H_
#define LINKS_LINK_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/time.h"
#include "links/prefix_memory.h"

namespace anvilloom {

// Whether a link may carry new work.
enum class link_condition : std::uint8_t {
  kHealthy,
  kProbation,    // Takes a few requests, to be readmitted.
  kQuarantined,  // Takes none: answers changed or were wrong.
  kLeaving,      // Takes none: the upstream is going away.
};

// What says that an upstream is going away. Each source is set and cleared on
// its own; any of them makes the link kLeaving.
enum class leaving_source : std::uint8_t {
  kNotice = 1,
  kList = 2,
  kRefusal = 4,
};

// What the requests of all threads saw of an upstream, counted since the
// link was made. Input of upstream_health.
struct health_reading {
  std::uint32_t failures_in_a_row = 0;
  std::uint32_t good_answers = 0;
  std::uint32_t bad_answers = 0;
  std::uint32_t version_changes = 0;
  std::uint32_t token_intervals = 0;
  std::uint32_t outstanding_requests = 0;
  duration token_interval{};
};

// What an upstream reports about its load. Source: GET /load, with a lag.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Share of the KV cache in use, in thousandths.
  std::uint32_t cache_permille = 0;
};

// Shared by every thread that serves requests. All members are atomics, and a
// link outlives the topologies that refer to it, so that counters survive a
// configuration change.
class link {
 public:
  explicit link(std::string_view upstream_name);

  std::string_view upstream_name() const { return upstream_name_; }

  // Counts a request of `tokens` estimated tokens as outstanding.
  void Begin(std::uint32_t tokens);
  // Ends what Begin() counted, with the same estimate.
  void End(std::uint32_t tokens);

  // Stores a report and forgets what was sent before it.
  void Report(const load_report& report, time_point now);

  // Records the time to the first token of one answer.
  void ObserveFirstToken(duration latency);
  // Records the time between two tokens of one answer.
  void ObserveTokenInterval(duration interval);

  // Records a failed call; returns the number of failures in a row.
  std::uint32_t Failed();
  void Succeeded();

  // Records a whole answer that passed every check.
  void RecordGoodAnswer();
  // Records a malformed or mismatched answer.
  void RecordBadAnswer();
  // Records the model version that an answer showed, as a hash that is not
  // zero. A change drops what is assumed about the upstream's cache.
  void ObserveVersion(std::uint64_t version);

  void SetCondition(link_condition condition);
  void SetLeaving(leaving_source source, bool leaving);
  // Sets the time after which the upstream is gone. Source: a notice.
  void SetReclaim(deadline reclaim_at);

  std::uint32_t outstanding_requests() const;
  std::uint32_t outstanding_tokens() const;
  // Requests begun since the latest load report.
  std::uint32_t sent_since_report() const;
  load_report last_report() const;
  time_point reported_at() const;
  // Moving averages in microseconds; zero until first observed.
  duration first_token_average() const;
  duration token_interval_average() const;
  std::uint32_t failures_in_a_row() const;
  // kLeaving if any source says so, else what SetCondition() set.
  link_condition condition() const;
  bool LeavingBy(leaving_source source) const;
  health_reading health() const;
  // Hash of the latest model version; zero until an answer showed one.
  std::uint64_t version() const;
  // Prompts that the upstream has probably cached.
  prefix_memory& prefixes() { return prefixes_; }
  deadline reclaim_at() const;
  // On probation, only while fewer than kProbationRequests are outstanding.
  bool takes_new_work() const;

  static constexpr std::uint32_t kProbationRequests = 2;

 private:
  static constexpr std::memory_order kRelaxed = std::memory_order_relaxed;

  std::string upstream_name_;
  std::atomic<std::uint32_t> outstanding_requests_{0};
  std::atomic<std::uint32_t> outstanding_tokens_{0};
  std::atomic<std::uint32_t> sent_since_report_{0};
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> waiting_{0};
  std::atomic<std::uint32_t> cache_permille_{0};
  std::atomic<monotonic::rep> reported_at_{0};
  std::atomic<monotonic::rep> first_token_us_{0};
  std::atomic<monotonic::rep> token_interval_us_{0};
  std::atomic<std::uint32_t> failures_in_a_row_{0};
  std::atomic<link_condition> condition_{link_condition::kHealthy};
  std::atomic<monotonic::rep> reclaim_at_;
  std::atomic<std::uint8_t> leaving_{0};
  std::atomic<std::uint32_t> good_answers_{0};
  std::atomic<std::uint32_t> bad_answers_{0};
  std::atomic<std::uint32_t> version_changes_{0};
  std::atomic<std::uint32_t> token_intervals_{0};
  std::atomic<std::uint64_t> version_{0};
  prefix_memory prefixes_;
};

}  // namespace anvilloom

#endif  // LINKS_LINK_H_
