// Defines link, the path from this entry instance to one upstream: the work
// outstanding on it, the latest load report and the upstream's condition.
#ifndef LINKS_LINK_H_
#define LINKS_LINK_H_

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/time.h"
#include "contracts/contract.h"
#include "links/reclaim_plan.h"

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
  // Growth of the token interval for each further request in the batch, as a
  // share of the interval of a batch of one. A prior: the interval itself is
  // observed.
  static constexpr float kIntervalGrowth = 1.0F / 16;

  explicit link(std::string_view upstream_name);

  std::string_view upstream_name() const { return upstream_name_; }

  // Begins to load what a routing decision reads.
  void Prefetch() const {
    __builtin_prefetch(&outstanding_requests_);
    __builtin_prefetch(&own_at_report_);
  }

  // Counts a request as outstanding.
  void Begin(priority rank = priority::kNormal);
  // The same, unless the link is on probation and has all the requests that it
  // may have. Checks and counts in one step, since many threads choose at once.
  bool TryBegin(priority rank = priority::kNormal);
  // Ends what Begin() or TryBegin() counted, with the same rank.
  void End(priority rank = priority::kNormal);

  // Stores a report, and remembers how many of the reported requests are this
  // entry instance's own.
  void Report(const load_report& report, time_point observed_at);

  // Records the time to the first token of one answer.
  void ObserveFirstToken(duration latency);
  // Records the time between two tokens of one answer, and whether it kept to
  // the contract's target.
  void ObserveTokenInterval(duration interval,
                            duration target = duration::max());
  // Records the time that an engine took to compute `tokens` prompt tokens.
  void ObservePrefill(std::uint32_t tokens, duration spent);
  // Distrusts what is known of the upstream's cache up to `now`: its cache
  // events have a gap, or its model version changed.
  void DistrustCache(time_point now);

  // Records a failed call; returns the number of failures in a row.
  std::uint32_t Failed();
  void Succeeded();

  // Records a whole answer that passed every check.
  void RecordGoodAnswer();
  // Records a malformed or mismatched answer.
  void RecordBadAnswer();
  // Records the model version that an answer or a load report showed at
  // `observed_at`, as a hash that is not zero. A change drops what is assumed
  // about the upstream's cache. An observation from before the latest change is
  // ignored: a late report would look like a change back.
  void ObserveVersion(std::uint64_t version, time_point observed_at);

  void SetCondition(link_condition condition);
  void SetLeaving(leaving_source source, bool leaving);
  // Begins the export of the KV cache of `tokens` tokens, unless one runs
  // already: exports of this entry instance go one after the other.
  bool TryBeginExport(std::uint32_t tokens, time_point now);
  // Ends it; a finished one tells how fast the upstream's network is.
  void EndExport(std::uint32_t tokens, duration taken, bool finished);
  // Time until the running export is expected to end; zero if none runs.
  duration until_export_ends(time_point now) const;
  // What an export takes, by the latest ones.
  move_costs export_costs() const;

  // Sets the time after which the upstream is gone. Source: a notice.
  void SetReclaim(deadline reclaim_at);

  std::uint32_t outstanding_requests() const {
    return outstanding_requests_.load(kRelaxed);
  }
  // Outstanding requests of rank kBatch.
  std::uint32_t outstanding_batch() const {
    return outstanding_batch_.load(kRelaxed);
  }
  // Requests of every entry instance that the upstream is expected to hold:
  // the others' as last reported, and this instance's own as of now. With
  // `members` above 1, the others are assumed to have changed their use since
  // the report as much as this instance did.
  std::uint32_t expected_requests(std::uint32_t members) const {
    const auto own = std::int64_t{outstanding_requests_.load(kRelaxed)};
    const auto own_then = std::int64_t{own_at_report_.load(kRelaxed)};
    const std::int64_t reported =
        std::int64_t{running_.load(kRelaxed)} + waiting_.load(kRelaxed);
    const std::int64_t others_then =
        std::max<std::int64_t>(0, reported - own_then);
    const std::int64_t others =
        others_then + (std::int64_t{members} - 1) * (own - own_then);
    return static_cast<std::uint32_t>(own + std::max<std::int64_t>(0, others));
  }
  load_report last_report() const;
  time_point reported_at() const;
  // Moving averages in microseconds; zero until first observed.
  duration first_token_average() const;
  duration token_interval_average() const;
  // Token interval of a batch of one, in microseconds, computed from the
  // observed intervals; zero until first observed.
  float interval_alone_us() const { return interval_alone_us_.load(kRelaxed); }
  // Token interval as observed with one or two requests in the batch, in
  // microseconds; zero until first observed.
  float small_batch_interval_us() const {
    return small_batch_interval_us_.load(kRelaxed);
  }
  // Share of token intervals above their target, as a moving average.
  float late_share() const { return late_share_.load(kRelaxed); }
  // Microseconds per prompt token; zero until first observed.
  float prefill_us_per_token() const {
    return prefill_us_per_token_.load(kRelaxed);
  }
  // Cache knowledge from before this time may be wrong.
  time_point cache_trusted_since() const {
    return time_point(duration(cache_trusted_since_.load(kRelaxed)));
  }
  std::uint32_t failures_in_a_row() const;
  // kLeaving if any source says so, else what SetCondition() set.
  link_condition condition() const {
    if (leaving_.load(std::memory_order_acquire) != 0) {
      return link_condition::kLeaving;
    }
    return condition_.load(std::memory_order_acquire);
  }
  bool LeavingBy(leaving_source source) const;
  health_reading health() const;
  // Hash of the latest model version; zero until an answer showed one.
  std::uint64_t version() const;
  deadline reclaim_at() const {
    return deadline(
        time_point(duration(reclaim_at_.load(std::memory_order_acquire))));
  }
  // On probation, only while fewer than kProbationRequests are outstanding.
  bool takes_new_work() const;

  static constexpr std::uint32_t kProbationRequests = 2;

 private:
  static constexpr std::memory_order kRelaxed = std::memory_order_relaxed;

  static constexpr std::size_t kCacheLine = 64;

  std::string upstream_name_;
  // Written for each request; kept apart from what is written less often.
  alignas(kCacheLine) std::atomic<std::uint32_t> outstanding_requests_{0};
  std::atomic<std::uint32_t> outstanding_batch_{0};
  // What routing reads, in one cache line; written for each report, token
  // interval, prefill or change of condition.
  alignas(kCacheLine) std::atomic<std::uint32_t> own_at_report_{0};
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> waiting_{0};
  std::atomic<float> interval_alone_us_{0};
  std::atomic<float> prefill_us_per_token_{0};
  std::atomic<float> late_share_{0};
  std::atomic<float> small_batch_interval_us_{0};
  std::atomic<link_condition> condition_{link_condition::kHealthy};
  std::atomic<std::uint8_t> leaving_{0};
  std::atomic<monotonic::rep> reclaim_at_;
  std::atomic<monotonic::rep> cache_trusted_since_{0};
  // What routing does not read.
  alignas(kCacheLine) std::atomic<std::uint32_t> cache_permille_{0};
  std::atomic<std::uint32_t> failures_in_a_row_{0};
  std::atomic<monotonic::rep> reported_at_{0};
  std::atomic<monotonic::rep> first_token_us_{0};
  std::atomic<monotonic::rep> token_interval_us_{0};
  std::atomic<std::uint32_t> good_answers_{0};
  std::atomic<std::uint32_t> bad_answers_{0};
  std::atomic<std::uint32_t> version_changes_{0};
  std::atomic<std::uint32_t> token_intervals_{0};
  std::atomic<std::uint64_t> version_{0};
  std::atomic<monotonic::rep> version_changed_at_{0};
  // When the running export is expected to end; zero if none runs.
  std::atomic<monotonic::rep> export_ends_at_{0};
  std::atomic<float> export_us_per_token_{0};
};

}  // namespace anvilloom

#endif  // LINKS_LINK_H_
