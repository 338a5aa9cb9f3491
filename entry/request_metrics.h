// Defines request_metrics, the counters and latency distributions of one
// thread.
#ifndef ENTRY_REQUEST_METRICS_H_
#define ENTRY_REQUEST_METRICS_H_

#include <sstream>  // Boost.Accumulators 1.81 needs it and does not include it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <string>

#include "common/time.h"

namespace anvilloom {

// A distribution of latencies in microseconds. Not thread-safe.
class latency_summary {
 public:
  latency_summary();

  void Add(duration latency);

  std::uint64_t count() const;
  double mean_us() const;
  double max_us() const;
  // Estimated quantiles (P-square).
  double median_us() const;
  double p95_us() const;
  double p99_us() const;

 private:
  using accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::mean,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  double Quantile(double probability) const;

  accumulator accumulator_;
};

// Read and written only by the thread that owns it.
struct request_metrics {
  std::uint64_t accepted = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t retries = 0;
  std::uint64_t tokens = 0;
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t rejected_chunks = 0;
  // Streams moved off a leaving upstream, by method.
  std::uint64_t moved_by_export = 0;
  std::uint64_t moved_by_prefill = 0;
  std::uint64_t stalled_attempts = 0;
  latency_summary first_token;
  latency_summary token_interval;
};

// Appends the metrics in the text exposition format, labelled with the thread.
void AppendMetrics(std::string& out,
                   const request_metrics& metrics,
                   std::size_t thread);

}  // namespace anvilloom

#endif  // ENTRY_REQUEST_METRICS_H_
