#include "links/link.h"

#include <algorithm>

namespace anvilloom {

namespace {

// Weight of a new observation in the moving averages: 1/8.
constexpr monotonic::rep kAverageDivisor = 8;
constexpr double kFixedPoint = 256;

// Concurrent updates may lose an observation; an average tolerates that.
void UpdateAverage(std::atomic<monotonic::rep>& average, duration value) {
  const monotonic::rep old = average.load(std::memory_order_relaxed);
  const monotonic::rep next =
      old == 0 ? value.count() : old + (value.count() - old) / kAverageDivisor;
  average.store(next, std::memory_order_relaxed);
}

// The same for averages kept in 1/256 of their unit.
void UpdateFixedAverage(std::atomic<std::uint32_t>& average, double value) {
  const double old = average.load(std::memory_order_relaxed);
  const double scaled = value * kFixedPoint;
  const double next =
      old == 0 ? scaled : old + (scaled - old) / kAverageDivisor;
  average.store(static_cast<std::uint32_t>(next), std::memory_order_relaxed);
}

}  // namespace

link::link(std::string_view upstream_name)
    : upstream_name_(upstream_name),
      reclaim_at_(time_point::max().time_since_epoch().count()) {}

void link::Begin(std::uint32_t tokens, priority rank) {
  if (rank == priority::kBatch) {
    outstanding_batch_.fetch_add(1, kRelaxed);
  }
  outstanding_requests_.fetch_add(1, kRelaxed);
  outstanding_tokens_.fetch_add(tokens, kRelaxed);
  sent_since_report_.fetch_add(1, kRelaxed);
}

void link::End(std::uint32_t tokens, priority rank) {
  if (rank == priority::kBatch) {
    outstanding_batch_.fetch_sub(1, kRelaxed);
  }
  outstanding_requests_.fetch_sub(1, kRelaxed);
  outstanding_tokens_.fetch_sub(tokens, kRelaxed);
}

void link::Report(const load_report& report, time_point now) {
  running_.store(report.running, kRelaxed);
  waiting_.store(report.waiting, kRelaxed);
  cache_permille_.store(report.cache_permille, kRelaxed);
  own_at_report_.store(outstanding_requests_.load(kRelaxed), kRelaxed);
  sent_since_report_.store(0, kRelaxed);
  reported_at_.store(now.time_since_epoch().count(), kRelaxed);
}

void link::ObserveFirstToken(duration latency) {
  UpdateAverage(first_token_us_, latency);
}

void link::ObserveTokenInterval(duration interval) {
  UpdateAverage(token_interval_us_, interval);
  UpdateFixedAverage(interval_batch_q8_, expected_requests(1));
}

void link::ObservePrefill(std::uint32_t tokens, duration spent) {
  if (tokens > 0) {
    UpdateFixedAverage(prefill_us_q8_,
                       static_cast<double>(spent.count()) / tokens);
  }
}

void link::DistrustCache(time_point now) {
  cache_trusted_since_.store(now.time_since_epoch().count(), kRelaxed);
}

std::uint32_t link::Failed() {
  return failures_in_a_row_.fetch_add(1, kRelaxed) + 1;
}

void link::Succeeded() {
  failures_in_a_row_.store(0, kRelaxed);
}

void link::SetCondition(link_condition condition) {
  condition_.store(condition, std::memory_order_release);
}

void link::SetReclaim(deadline reclaim_at) {
  reclaim_at_.store(reclaim_at.at().time_since_epoch().count(),
                    std::memory_order_release);
}

std::uint32_t link::outstanding_requests() const {
  return outstanding_requests_.load(kRelaxed);
}

std::uint32_t link::outstanding_tokens() const {
  return outstanding_tokens_.load(kRelaxed);
}

std::uint32_t link::outstanding_batch() const {
  return outstanding_batch_.load(kRelaxed);
}

std::uint32_t link::expected_requests(std::uint32_t members) const {
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

std::uint32_t link::sent_since_report() const {
  return sent_since_report_.load(kRelaxed);
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

double link::interval_batch_average() const {
  return interval_batch_q8_.load(kRelaxed) / kFixedPoint;
}

double link::prefill_us_per_token() const {
  return prefill_us_q8_.load(kRelaxed) / kFixedPoint;
}

time_point link::cache_trusted_since() const {
  return time_point(duration(cache_trusted_since_.load(kRelaxed)));
}

std::uint32_t link::failures_in_a_row() const {
  return failures_in_a_row_.load(kRelaxed);
}

link_condition link::condition() const {
  return condition_.load(std::memory_order_acquire);
}

deadline link::reclaim_at() const {
  return deadline(
      time_point(duration(reclaim_at_.load(std::memory_order_acquire))));
}

bool link::takes_new_work() const {
  const link_condition current = condition();
  return current == link_condition::kHealthy ||
         current == link_condition::kProbation;
}

}  // namespace anvilloom
