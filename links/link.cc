#include "links/link.h"

namespace anvilloom {

namespace {

// A new observation has a weight of 1/8 in the moving averages.
constexpr monotonic::rep kAverageDivisor = 8;
// Largest batch whose token interval counts as that of an idle engine.
constexpr float kSmallBatch = 2;
// Weight of a token in the average of late tokens. It spans about 500 tokens,
// because it must distinguish 3 from 5 late tokens in 100.
constexpr float kLateWeight = 1.0F / 512;

// Concurrent updates may lose an observation, which an average tolerates.
void UpdateAverage(std::atomic<monotonic::rep>& average, duration value) {
  const monotonic::rep old = average.load(std::memory_order_relaxed);
  const monotonic::rep next =
      old == 0 ? value.count() : old + (value.count() - old) / kAverageDivisor;
  average.store(next, std::memory_order_relaxed);
}

void UpdateAverage(std::atomic<float>& average, float value) {
  const float old = average.load(std::memory_order_relaxed);
  const float next =
      old == 0 ? value
               : old + (value - old) / static_cast<float>(kAverageDivisor);
  average.store(next, std::memory_order_relaxed);
}

}  // namespace

link::link(std::string_view upstream_name)
    : upstream_name_(upstream_name),
      reclaim_at_(time_point::max().time_since_epoch().count()) {}

void link::Begin(priority priority_class) {
  if (priority_class == priority::kBatch) {
    outstanding_batch_.fetch_add(1, kRelaxed);
  }
  outstanding_requests_.fetch_add(1, kRelaxed);
}

bool link::TryBegin(priority priority_class) {
  if (condition() != link_condition::kProbation) {
    Begin(priority_class);
    return true;
  }
  std::uint32_t outstanding = outstanding_requests_.load(kRelaxed);
  while (outstanding < kProbationRequests) {
    if (outstanding_requests_.compare_exchange_weak(
            outstanding, outstanding + 1, kRelaxed)) {
      if (priority_class == priority::kBatch) {
        outstanding_batch_.fetch_add(1, kRelaxed);
      }
      return true;
    }
  }
  return false;
}

void link::End(priority priority_class) {
  if (priority_class == priority::kBatch) {
    outstanding_batch_.fetch_sub(1, kRelaxed);
  }
  outstanding_requests_.fetch_sub(1, kRelaxed);
}

void link::Report(const load_report& report, time_point observed_at) {
  running_.store(report.running, kRelaxed);
  waiting_.store(report.waiting, kRelaxed);
  cache_permille_.store(report.cache_permille, kRelaxed);
  own_requests_at_report_.store(outstanding_requests_.load(kRelaxed), kRelaxed);
  reported_at_.store(observed_at.time_since_epoch().count(), kRelaxed);
}

void link::ObserveFirstToken(duration latency) {
  UpdateAverage(first_token_us_, latency);
}

void link::ObserveTokenInterval(duration interval, duration target) {
  const float late = interval > target ? 1.0F : 0.0F;
  const float share = late_share_.load(kRelaxed);
  late_share_.store(share + (late - share) * kLateWeight, kRelaxed);
  UpdateAverage(token_interval_us_, interval);
  token_intervals_.fetch_add(1, kRelaxed);
  const auto batch =
      static_cast<float>(std::max<std::uint32_t>(expected_requests(1), 1));
  if (batch <= kSmallBatch) {
    UpdateAverage(small_batch_interval_us_,
                  static_cast<float>(interval.count()));
  }
  UpdateAverage(single_request_interval_us_,
                static_cast<float>(interval.count()) /
                    (1 + kIntervalGrowthPerRequest * (batch - 1)));
}

void link::ObservePrefill(std::uint32_t tokens, duration spent) {
  if (tokens > 0) {
    UpdateAverage(prefill_us_per_token_, static_cast<float>(spent.count()) /
                                             static_cast<float>(tokens));
  }
}

void link::DistrustCache(time_point now) {
  cache_trusted_since_.store(now.time_since_epoch().count(), kRelaxed);
}

std::uint32_t link::RecordFailure() {
  return failures_in_a_row_.fetch_add(1, kRelaxed) + 1;
}

void link::RecordSuccess() {
  failures_in_a_row_.store(0, kRelaxed);
}

void link::RecordGoodAnswer() {
  good_answers_.fetch_add(1, kRelaxed);
}

void link::RecordBadAnswer() {
  bad_answers_.fetch_add(1, kRelaxed);
}

void link::ObserveVersion(std::uint64_t version, time_point observed_at) {
  const monotonic::rep at = observed_at.time_since_epoch().count();
  // Checked before the exchange, so that the common case writes no shared cache
  // line.
  if (version_.load(kRelaxed) == version ||
      at < version_changed_at_.load(kRelaxed)) {
    return;
  }
  const std::uint64_t before = version_.exchange(version, kRelaxed);
  if (before != 0 && before != version) {
    version_changed_at_.store(at, kRelaxed);
    DistrustCache(observed_at);
    version_changes_.fetch_add(1, kRelaxed);
  }
}

void link::SetLeaving(leaving_source source, bool leaving) {
  const auto bit = static_cast<std::uint8_t>(source);
  if (leaving) {
    leaving_.fetch_or(bit, std::memory_order_acq_rel);
  } else {
    leaving_.fetch_and(static_cast<std::uint8_t>(~bit),
                       std::memory_order_acq_rel);
  }
}

void link::SetCondition(link_condition condition) {
  condition_.store(condition, std::memory_order_release);
}

void link::SetReclaim(deadline reclaim_at) {
  reclaim_at_.store(reclaim_at.at().time_since_epoch().count(),
                    std::memory_order_release);
}

load_report link::last_report() const {
  return {running_.load(kRelaxed), waiting_.load(kRelaxed),
          cache_permille_.load(kRelaxed)};
}

time_point link::reported_at() const {
  return time_point(duration(reported_at_.load(kRelaxed)));
}

duration link::first_token_average() const {
  return duration(first_token_us_.load(kRelaxed));
}

duration link::token_interval_average() const {
  return duration(token_interval_us_.load(kRelaxed));
}

std::uint32_t link::failures_in_a_row() const {
  return failures_in_a_row_.load(kRelaxed);
}

bool link::TryBeginExport(std::uint32_t tokens, time_point now) {
  const move_costs costs = export_costs();
  const time_point end =
      now + costs.export_overhead + costs.export_per_token * tokens;
  monotonic::rep not_running = 0;
  return export_ends_at_.compare_exchange_strong(
      not_running, end.time_since_epoch().count(), kRelaxed);
}

void link::EndExport(std::uint32_t tokens, duration taken, bool finished) {
  const duration transfer_time = taken - move_costs{}.export_overhead;
  if (finished && tokens > 0 && transfer_time > duration::zero()) {
    UpdateAverage(
        export_us_per_token_,
        static_cast<float>(transfer_time.count()) / static_cast<float>(tokens));
  }
  export_ends_at_.store(0, kRelaxed);
}

duration link::until_export_ends(time_point now) const {
  const monotonic::rep end = export_ends_at_.load(kRelaxed);
  if (end == 0) {
    return duration::zero();
  }
  // An export that takes longer than expected is assumed to end soon.
  return std::max<duration>(time_point(duration(end)) - now,
                            move_costs{}.export_overhead);
}

move_costs link::export_costs() const {
  move_costs costs;
  const float measured_us_per_token = export_us_per_token_.load(kRelaxed);
  if (measured_us_per_token > 0) {
    // Rounded up, so that the cost on a fast network is not zero.
    costs.export_per_token =
        duration(static_cast<monotonic::rep>(measured_us_per_token) + 1);
  }
  return costs;
}

bool link::takes_new_work() const {
  const link_condition current = condition();
  return current == link_condition::kHealthy ||
         (current == link_condition::kProbation &&
          outstanding_requests() < kProbationRequests);
}

bool link::LeavingBy(leaving_source source) const {
  return (leaving_.load(std::memory_order_acquire) &
          static_cast<std::uint8_t>(source)) != 0;
}

health_snapshot link::health() const {
  health_snapshot snapshot;
  snapshot.failures_in_a_row = failures_in_a_row_.load(kRelaxed);
  snapshot.good_answers = good_answers_.load(kRelaxed);
  snapshot.bad_answers = bad_answers_.load(kRelaxed);
  snapshot.version_changes = version_changes_.load(kRelaxed);
  snapshot.token_intervals = token_intervals_.load(kRelaxed);
  snapshot.outstanding_requests = outstanding_requests();
  snapshot.token_interval = token_interval_average();
  return snapshot;
}

std::uint64_t link::version() const {
  return version_.load(kRelaxed);
}

}  // namespace anvilloom
