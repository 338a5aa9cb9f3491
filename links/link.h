// Defines link, the path from this entry instance to one upstream: its
// outstanding requests, the latest load report and the upstream's condition.
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
  kProbation,    // Takes a few requests, which decide on readmission.
  kQuarantined,  // Takes none: calls failed, or answers changed or were wrong.
  kLeaving,      // Takes none: the upstream is shutting down.
};

// Source of the information that an upstream is shutting down. Sources are set
// and cleared independently; any of them makes the link kLeaving.
enum class leaving_source : std::uint8_t {
  kNotice = 1,
  kList = 2,
  kRefusal = 4,
};

// Counters over the requests of all threads since the link was created, with
// the current load and token interval. Input of upstream_health.
struct health_snapshot {
  std::uint32_t failures_in_a_row = 0;
  std::uint32_t good_answers = 0;
  std::uint32_t bad_answers = 0;
  std::uint32_t version_changes = 0;
  std::uint32_t token_intervals = 0;
  std::uint32_t outstanding_requests = 0;
  duration token_interval{};
};

// Load of an upstream as it reports it at GET /load. The report lags behind.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Share of the KV cache in use, in thousandths.
  std::uint32_t cache_permille = 0;
};

// Thread-safe: all mutable members are atomics. A link outlives the topologies
// that refer to it, so that counters survive a configuration change.
class link {
 public:
  // Growth of the token interval for each further request in the batch, as a
  // share of the interval of a batch of one. The growth is assumed, while the
  // interval is observed.
  static constexpr float kIntervalGrowthPerRequest = 1.0F / 16;

  explicit link(std::string_view upstream_name);

  std::string_view upstream_name() const { return upstream_name_; }

  // Prefetches the cache lines that a routing decision reads.
  void Prefetch() const {
    __builtin_prefetch(&outstanding_requests_);
    __builtin_prefetch(&own_requests_at_report_);
  }

  // Counts a request as outstanding.
  void Begin(priority priority_class = priority::kNormal);
  // Like Begin(), but returns false if the link is on probation and has
  // kProbationRequests outstanding. Checks and counts atomically, because many
  // threads choose at the same time.
  bool TryBegin(priority priority_class = priority::kNormal);
  // Ends a request counted by Begin() or TryBegin() with the same priority
  // class.
  void End(priority priority_class = priority::kNormal);

  // Stores a report and how many requests of this entry instance were
  // outstanding at the time.
  void Report(const load_report& report, time_point observed_at);

  // Records the time to the first token of one answer.
  void ObserveFirstToken(duration latency);
  // Records the time between two tokens of one answer, and whether it exceeds
  // the contract's target.
  void ObserveTokenInterval(duration interval,
                            duration target = duration::max());
  // Records the time that an engine took to compute `tokens` prompt tokens.
  void ObservePrefill(std::uint32_t tokens, duration spent);
  // Marks the knowledge of the upstream's cache up to `now` as unreliable,
  // because cache events were lost or the model version changed.
  void DistrustCache(time_point now);

  // Records a failed call; returns the number of consecutive failures.
  std::uint32_t RecordFailure();
  void RecordSuccess();

  // Records a complete answer that passed every check.
  void RecordGoodAnswer();
  // Records a malformed or mismatched answer.
  void RecordBadAnswer();
  // Records the model version of an answer or a load report observed at
  // `observed_at`, as a nonzero hash. A change calls DistrustCache(). An
  // observation from before the latest change is ignored, because a late report
  // would look like a change back.
  void ObserveVersion(std::uint64_t version, time_point observed_at);

  void SetCondition(link_condition condition);
  void SetLeaving(leaving_source source, bool leaving);
  // Begins an export of the KV cache of `tokens` tokens. Returns false if one
  // is running: this entry instance exports sequentially.
  bool TryBeginExport(std::uint32_t tokens, time_point now);
  // Ends the export. A finished one updates the export cost per token.
  void EndExport(std::uint32_t tokens, duration taken, bool finished);
  // Time until the running export is expected to end; zero if none runs.
  duration until_export_ends(time_point now) const;
  // Costs of an export, estimated from the latest ones.
  move_costs export_costs() const;

  // Sets the time of the reclaim, as given by a reclaim notice.
  void SetReclaim(deadline reclaim_at);

  std::uint32_t outstanding_requests() const {
    return outstanding_requests_.load(kRelaxed);
  }
  // Outstanding requests of priority class kBatch.
  std::uint32_t outstanding_batch() const {
    return outstanding_batch_.load(kRelaxed);
  }
  // Expected requests of all entry instances at the upstream: those of the
  // others from the latest report, and the current ones of this instance. With
  // `members` above 1, the number of each other instance is assumed to have
  // changed since the report by as much as that of this instance.
  std::uint32_t expected_requests(std::uint32_t members) const {
    const auto own = std::int64_t{outstanding_requests_.load(kRelaxed)};
    const auto own_at_report =
        std::int64_t{own_requests_at_report_.load(kRelaxed)};
    const std::int64_t reported =
        std::int64_t{running_.load(kRelaxed)} + waiting_.load(kRelaxed);
    const std::int64_t others_at_report =
        std::max<std::int64_t>(0, reported - own_at_report);
    const std::int64_t others =
        others_at_report + (std::int64_t{members} - 1) * (own - own_at_report);
    return static_cast<std::uint32_t>(own + std::max<std::int64_t>(0, others));
  }
  load_report last_report() const;
  time_point reported_at() const;
  // Moving averages in microseconds; zero until first observed.
  duration first_token_average() const;
  duration token_interval_average() const;
  // Token interval of a batch of one, in microseconds, computed from the
  // observed intervals; zero until first observed.
  float single_request_interval_us() const {
    return single_request_interval_us_.load(kRelaxed);
  }
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
  // Time of the latest DistrustCache(); earlier cache knowledge is unreliable.
  time_point cache_trusted_since() const {
    return time_point(duration(cache_trusted_since_.load(kRelaxed)));
  }
  std::uint32_t failures_in_a_row() const;
  // kLeaving if any leaving_source is set, otherwise the value of
  // SetCondition().
  link_condition condition() const {
    if (leaving_.load(std::memory_order_acquire) != 0) {
      return link_condition::kLeaving;
    }
    return condition_.load(std::memory_order_acquire);
  }
  bool LeavingBy(leaving_source source) const;
  health_snapshot health() const;
  // Hash of the latest model version; zero until one was observed.
  std::uint64_t version() const;
  deadline reclaim_at() const {
    return deadline(
        time_point(duration(reclaim_at_.load(std::memory_order_acquire))));
  }
  // Whether the link may carry a new request. On probation, only while fewer
  // than kProbationRequests are outstanding.
  bool takes_new_work() const;

  static constexpr std::uint32_t kProbationRequests = 2;

 private:
  static constexpr std::memory_order kRelaxed = std::memory_order_relaxed;

  static constexpr std::size_t kCacheLine = 64;

  std::string upstream_name_;
  // Written for each request, so on a cache line apart from members that are
  // written less often.
  alignas(kCacheLine) std::atomic<std::uint32_t> outstanding_requests_{0};
  std::atomic<std::uint32_t> outstanding_batch_{0};
  // Read by routing and kept in one cache line. Written for each report, token
  // interval, prefill or change of condition.
  alignas(kCacheLine) std::atomic<std::uint32_t> own_requests_at_report_{0};
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> waiting_{0};
  std::atomic<float> single_request_interval_us_{0};
  std::atomic<float> prefill_us_per_token_{0};
  std::atomic<float> late_share_{0};
  std::atomic<float> small_batch_interval_us_{0};
  std::atomic<link_condition> condition_{link_condition::kHealthy};
  std::atomic<std::uint8_t> leaving_{0};
  std::atomic<monotonic::rep> reclaim_at_;
  std::atomic<monotonic::rep> cache_trusted_since_{0};
  // Not read by routing.
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
  // Expected end of the running export; zero if none runs.
  std::atomic<monotonic::rep> export_ends_at_{0};
  std::atomic<float> export_us_per_token_{0};
};

}  // namespace anvilloom

#endif  // LINKS_LINK_H_
