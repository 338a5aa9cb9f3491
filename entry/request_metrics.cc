#include "entry/request_metrics.h"

#include <array>
#include <cmath>
#include <string_view>

namespace anvilloom {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kProbabilities = {0.5, 0.95, 0.99};

void AppendLine(std::string& out,
                std::string_view name,
                std::string_view labels,
                double value) {
  out += "anvilloom_";
  out += name;
  out += '{';
  out += labels;
  out += "} ";
  out += std::to_string(value);
  out += '\n';
}

void AppendSummary(std::string& out,
                   std::string_view name,
                   const std::string& label,
                   const latency_summary& summary) {
  AppendLine(out, name, label + ",quantile=\"0.5\"", summary.median_us());
  AppendLine(out, name, label + ",quantile=\"0.95\"", summary.p95_us());
  AppendLine(out, name, label + ",quantile=\"0.99\"", summary.p99_us());
  AppendLine(out, std::string(name) + "_count", label,
             static_cast<double>(summary.count()));
}

}  // namespace

latency_summary::latency_summary()
    : accumulator_(acc::extended_p_square_probabilities = kProbabilities) {}

void latency_summary::Add(duration latency) {
  accumulator_(static_cast<double>(latency.count()));
}

std::uint64_t latency_summary::count() const {
  return acc::count(accumulator_);
}

double latency_summary::mean_us() const {
  return count() == 0 ? 0 : acc::mean(accumulator_);
}

double latency_summary::max_us() const {
  return count() == 0 ? 0 : acc::max(accumulator_);
}

double latency_summary::median_us() const {
  return Quantile(kProbabilities[0]);
}

double latency_summary::p95_us() const {
  return Quantile(kProbabilities[1]);
}

double latency_summary::p99_us() const {
  return Quantile(kProbabilities[2]);
}

double latency_summary::Quantile(double probability) const {
  if (count() == 0) {
    return 0;
  }
  const double value =
      acc::quantile(accumulator_, acc::quantile_probability = probability);
  return std::isfinite(value) ? value : 0;
}

void AppendMetrics(std::string& out,
                   const request_metrics& metrics,
                   std::size_t thread) {
  const std::string label = "thread=\"" + std::to_string(thread) + "\"";
  const auto counter = [&](std::string_view name, std::uint64_t value) {
    AppendLine(out, name, label, static_cast<double>(value));
  };
  counter("requests_accepted_total", metrics.accepted);
  counter("requests_completed_total", metrics.completed);
  counter("requests_refused_total", metrics.refused);
  counter("requests_failed_total", metrics.failed);
  counter("retries_total", metrics.retries);
  counter("tokens_total", metrics.tokens);
  counter("recomputed_tokens_total", metrics.recomputed_tokens);
  counter("rejected_chunks_total", metrics.rejected_chunks);
  counter("streams_moved_by_export_total", metrics.moved_by_export);
  counter("streams_moved_by_prefill_total", metrics.moved_by_prefill);
  counter("stalled_attempts_total", metrics.stalled_attempts);
  AppendSummary(out, "first_token_us", label, metrics.first_token);
  AppendSummary(out, "token_interval_us", label, metrics.token_interval);
}

}  // namespace anvilloom
