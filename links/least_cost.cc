#include "links/least_cost.h"

#include <algorithm>
#include <cstddef>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Prefill time per token and token interval, in microseconds, assumed until
// values of an upstream have been observed.
constexpr double kDefaultPrefillUs = 200;
constexpr double kDefaultIntervalUs = 25'000;
// Batches are filled up to this share of the target token interval, because
// reports lag and a batch can't be reduced afterwards.
constexpr double kMaxIntervalShare = 0.9;
// Shares of late tokens at which the usable batch starts to shrink linearly and
// at which it is halved. It shrinks because prefills of other requests delay
// tokens by more than the batch size predicts. Contracts allow 5 late tokens in
// 100.
constexpr double kLateShareThreshold = 0.005;
constexpr double kLateShareHalved = 0.025;
constexpr double kMinBatchShare = 0.1;
// Probabilities that a prefix is cached at an upstream, by the kind of
// evidence.
constexpr double kRecordedCacheProbability = 0.95;
constexpr double kDistrustedCacheProbability = 0.4;
constexpr double kHomeCacheProbability = 0.5;
// Reclaims per reclaimable instance and microsecond: two a day, and one a
// minute in a failure domain with a notice in the last ten minutes.
constexpr double kBaseHazard = 2.0 / (24 * 3600e6);
constexpr double kReclaimWaveHazard = 1.0 / 60e6;
constexpr duration kReclaimWaveWindow = std::chrono::minutes(10);
// Cost factor of a recomputed token. It is above 1 because the caller waits
// for the token twice.
constexpr double kRecomputeWeight = 10;
// Up to this number of candidates, all are evaluated. With more, only the
// rendezvous homes and a random sample are, which bounds the decision time.
constexpr std::size_t kMaxFullScan = 32;
constexpr std::size_t kSampleSize = 12;

// Estimated cost of one candidate.
struct candidate_cost {
  double cost = 0;
  double first_token_us = 0;
  double interval_us = 0;
  // Time by which the contract is missed, in microseconds; zero if it is met.
  double lateness_us = 0;
};

double ObservedOrDefault(double observed, double fallback) {
  return observed > 0 ? observed : fallback;
}

}  // namespace

// Evaluates the candidates of one decision and keeps the best.
class cost_scan {
 public:
  cost_scan(const least_cost& policy,
            const topology& snapshot,
            const route_request& request,
            time_point now)
      : policy_(policy),
        parts_(policy.parts_),
        request_(request),
        now_(now),
        candidates_(snapshot.CandidatesOf(request.wanted)),
        target_us_(static_cast<double>(
            snapshot.at(request.wanted).terms.token_interval_target.count())),
        members_(policy.members_.load(std::memory_order_relaxed)) {
    if (parts_.locality && request.prompt_tokens > 0) {
      homes_ = snapshot.HomesOf(request.wanted).Find(request.prefix_hash);
      locations_ = policy.locations_.Find(request.prefix_hash, found_);
    }
  }

  std::optional<route_estimate> Run() {
    if (candidates_.empty()) {
      return std::nullopt;
    }
    const auto size = static_cast<std::uint32_t>(candidates_.size());
    split_mix random(thread_random().Next());
    std::array<std::uint32_t, kMaxFullScan> positions;
    std::size_t count = 0;
    if (size <= kMaxFullScan) {
      // The random start makes entry instances break ties differently.
      const std::uint32_t first = random.NextBelow(size);
      while (count < size) {
        positions[count] = static_cast<std::uint32_t>(
            first + count < size ? first + count : first + count - size);
        ++count;
      }
    } else {
      for (const std::uint16_t home : homes_) {
        positions[count++] = home;
      }
      for (std::size_t i = 0; i < kSampleSize; ++i) {
        positions[count++] = random.NextBelow(size);
      }
    }
    const auto chosen = std::span(positions).first(count);
    // The links are scattered in memory and written by other threads.
    // Prefetching lets their cache misses overlap.
    for (const std::uint32_t position : chosen) {
      candidates_[position].path->Prefetch();
    }
    for (const std::uint32_t position : chosen) {
      Consider(position);
    }
    if (!best_ && size > kMaxFullScan) {
      // No sampled candidate may take the request, so all are evaluated.
      for (std::uint32_t i = 0; i < size; ++i) {
        Consider(i);
      }
    }
    return Finish();
  }

 private:
  bool MayTakeWork(const route_candidate& candidate) const {
    return candidate.path->takes_new_work() &&
           std::ranges::find(request_.excluded, candidate.index) ==
               request_.excluded.end();
  }

  void Consider(std::uint32_t position) {
    const route_candidate& candidate = candidates_[position];
    if (!MayTakeWork(candidate)) {
      return;
    }
    const link& path = *candidate.path;
    const double held = HeldRequests(path);
    const double single_interval = SingleRequestInterval(path);
    const double usable = MaxUsableBatch(candidate, single_interval);
    held_sum_ += held;
    capacity_sum_ += Capacity(candidate, usable);
    const candidate_cost cost =
        Cost(candidate, position, held, usable, single_interval);
    const bool better =
        !best_ || (cost.lateness_us == best_cost_.lateness_us
                       ? cost.cost < best_cost_.cost
                       : cost.lateness_us < best_cost_.lateness_us);
    if (better) {
      best_ = position;
      best_cost_ = cost;
    }
  }

  double HeldRequests(const link& path) const {
    if (!parts_.load_correction) {
      const load_report report = path.last_report();
      return report.running + report.waiting;
    }
    return path.expected_requests(members_);
  }

  static double SingleRequestInterval(const link& path) {
    return ObservedOrDefault(path.single_request_interval_us(),
                             kDefaultIntervalUs);
  }

  static double IntervalAt(double single_interval, double batch) {
    return single_interval *
           (1 + link::kIntervalGrowthPerRequest * (batch - 1));
  }

  // Returns the largest batch that keeps the token interval within the target.
  double MaxUsableBatch(const route_candidate& candidate,
                        double single_interval) const {
    if (!parts_.batching) {
      return candidate.slots;
    }
    constexpr double kRequestsPerGrowth = 1 / link::kIntervalGrowthPerRequest;
    const double interval_limit =
        (target_us_ * kMaxIntervalShare / single_interval - 1) *
            kRequestsPerGrowth +
        1;
    const double late = (candidate.path->late_share() - kLateShareThreshold) /
                        (kLateShareHalved - kLateShareThreshold);
    const double batch_share = std::clamp(1 - late / 2, kMinBatchShare, 1.0);
    // At least one: without requests, the share of late tokens of an engine
    // would never fall again.
    return std::max(
        1.0, std::min<double>(interval_limit, candidate.slots) * batch_share);
  }

  // Returns the number of requests that counts as full load. If no batch size
  // meets the target, or no interval has been observed, refusing requests does
  // not speed up the others, and only the declared slots bound the batch.
  double Capacity(const route_candidate& candidate, double usable) const {
    const link& path = *candidate.path;
    const bool unknown = path.single_request_interval_us() == 0;
    const bool target_unreachable =
        path.small_batch_interval_us() > target_us_ * kMaxIntervalShare;
    return unknown || target_unreachable ? candidate.slots : usable;
  }

  candidate_cost Cost(const route_candidate& candidate,
                      std::uint32_t position,
                      double held,
                      double usable,
                      double single_interval) const {
    const link& path = *candidate.path;
    const double prefill_rate =
        ObservedOrDefault(path.prefill_us_per_token(), kDefaultPrefillUs);
    const double prefill_us =
        UncachedTokens(candidate, position) * prefill_rate;
    const double batch = held + 1;
    const double interval =
        IntervalAt(single_interval, std::min<double>(batch, candidate.slots));
    const double answer = request_.answer_tokens;
    candidate_cost result;
    result.interval_us = interval;
    result.first_token_us = QueueTime(candidate, held, interval) + prefill_us +
                            (answer > 0 ? interval : 0);
    result.lateness_us = Lateness(path, result, batch, usable);
    const double decode_us =
        answer > 0 ? answer * single_interval * BatchShare(batch)
                   // Requests without tokens, of plain services, prefer idle
                   // upstreams.
                   : kDefaultIntervalUs * (1 + held / candidate.slots);
    const double spent_us = prefill_us + decode_us;
    const double price = parts_.price ? candidate.price_per_hour : 1;
    result.cost =
        price * (spent_us + ExpectedLoss(candidate, interval, prefill_rate));
    return result;
  }

  // Returns the engine time per token relative to a batch of one: the share of
  // an iteration plus the delay that the request adds for the whole batch.
  double BatchShare(double batch) const {
    return parts_.batching ? 1 / batch + link::kIntervalGrowthPerRequest * batch
                           : 1;
  }

  // Returns the expected time until a slot is free, in microseconds.
  double QueueTime(const route_candidate& candidate,
                   double held,
                   double interval) const {
    double ahead = held;
    if (parts_.priorities && request_.priority_class != priority::kBatch) {
      // Engines schedule this request before batch requests.
      ahead -= std::min<double>(
          held, double{members_ * 1.0} * candidate.path->outstanding_batch());
    }
    const double over = ahead - candidate.slots + 1;
    if (over <= 0) {
      return 0;
    }
    // On average, half of the answer of a running request remains.
    const double half_answer_us =
        std::max<double>(request_.answer_tokens, 1) * interval / 2;
    return over / candidate.slots * half_answer_us;
  }

  double Lateness(const link& path,
                  const candidate_cost& expected,
                  double batch,
                  double usable) const {
    const double answer = request_.answer_tokens;
    const double answered_us =
        expected.first_token_us + answer * expected.interval_us;
    const double first_token_in =
        static_cast<double>(request_.first_token_by.Remaining(now_).count());
    const double answer_in =
        static_cast<double>(request_.answer_by.Remaining(now_).count());
    double late = std::max(0.0, expected.first_token_us - first_token_in);
    late += std::max(0.0, answered_us - answer_in);
    if (parts_.reclaim_risk) {
      // After a notice, the answer should end before the reclaim.
      late += std::max(
          0.0, answered_us - static_cast<double>(
                                 path.reclaim_at().Remaining(now_).count()));
    }
    if (parts_.batching && answer > 0 && batch > usable) {
      // A batch above the usable size delays each request in it.
      late += (batch - usable) / usable * expected.interval_us * answer;
    }
    return late;
  }

  // Returns the number of prompt tokens that the candidate is expected to
  // compute.
  double UncachedTokens(const route_candidate& candidate,
                        std::uint32_t position) const {
    const double prompt = request_.prompt_tokens;
    if (!parts_.locality || prompt == 0) {
      return prompt;
    }
    const double shared = request_.prefix_tokens > 0
                              ? std::min<double>(request_.prefix_tokens, prompt)
                              : prompt;
    return prompt - shared * CachedProbability(candidate, position);
  }

  double CachedProbability(const route_candidate& candidate,
                           std::uint32_t position) const {
    for (const prefix_location& location : locations_) {
      if (MatchesUpstream(location, candidate.name_hash)) {
        return location.seen_at >= candidate.path->cache_trusted_since()
                   ? kRecordedCacheProbability
                   : kDistrustedCacheProbability;
      }
    }
    // Other entry instances send the prefix to its first home with free
    // capacity, so the probability halves with each position in the list.
    double probability = kHomeCacheProbability;
    for (const std::uint16_t home : homes_) {
      if (home == position) {
        return probability;
      }
      probability /= 2;
    }
    return 0;
  }

  // Returns the engine time expected to be lost to a reclaim before the answer
  // ends, in microseconds.
  double ExpectedLoss(const route_candidate& candidate,
                      double interval,
                      double prefill_rate) const {
    if (!parts_.reclaim_risk || !candidate.reclaimable) {
      return 0;
    }
    const std::size_t slot = candidate.domain_hash % least_cost::kReclaimSlots;
    const monotonic::rep last =
        policy_.last_reclaims_[slot].load(std::memory_order_relaxed);
    const bool wave =
        last != 0 && now_ - time_point(duration(last)) < kReclaimWaveWindow;
    const double answer = request_.answer_tokens;
    const double exposed_us = answer * interval;
    const double probability =
        std::min(1.0, exposed_us * (wave ? kReclaimWaveHazard : kBaseHazard));
    return probability * (request_.prompt_tokens + answer / 2) * prefill_rate *
           kRecomputeWeight;
  }

  std::optional<route_estimate> Finish() const {
    if (!best_) {
      return std::nullopt;
    }
    route_estimate estimate;
    estimate.chosen = candidates_[*best_].index;
    estimate.name_hash = candidates_[*best_].name_hash;
    estimate.first_token =
        duration(static_cast<monotonic::rep>(best_cost_.first_token_us));
    estimate.token_interval =
        duration(static_cast<monotonic::rep>(best_cost_.interval_us));
    estimate.meets_target = best_cost_.lateness_us <= 0;
    estimate.load_permille =
        static_cast<std::uint32_t>(1000 * held_sum_ / capacity_sum_);
    return estimate;
  }

  const least_cost& policy_;
  const least_cost_features& parts_;
  const route_request& request_;
  time_point now_;
  std::span<const route_candidate> candidates_;
  double target_us_;
  std::uint32_t members_;
  std::span<const std::uint16_t> homes_;
  prefix_locations::found_locations found_;
  std::span<const prefix_location> locations_;
  std::optional<std::uint32_t> best_;
  candidate_cost best_cost_;
  double held_sum_ = 0;
  double capacity_sum_ = 0;
};

std::optional<upstream_index> least_cost::Choose(const topology& snapshot,
                                                 const route_request& request,
                                                 time_point now) {
  const auto estimate = cost_scan(*this, snapshot, request, now).Run();
  if (!estimate) {
    return std::nullopt;
  }
  if (parts_.locality && request.prompt_tokens > 0) {
    locations_.Record(request.prefix_hash, estimate->name_hash, now);
  }
  return estimate->chosen;
}

std::optional<route_estimate> least_cost::Estimate(const topology& snapshot,
                                                   const route_request& request,
                                                   time_point now) const {
  return cost_scan(*this, snapshot, request, now).Run();
}

void least_cost::CacheStored(std::uint64_t prefix_hash,
                             std::string_view upstream_name,
                             time_point now) {
  locations_.Record(prefix_hash, Hash64(upstream_name), now);
}

void least_cost::CacheEvicted(std::uint64_t prefix_hash,
                              std::string_view upstream_name) {
  locations_.Remove(prefix_hash, Hash64(upstream_name));
}

bool least_cost::IsCached(std::uint64_t prefix_hash, const link& path) const {
  const std::uint64_t name_hash = Hash64(path.upstream_name());
  prefix_locations::found_locations found;
  return std::ranges::any_of(
      locations_.Find(prefix_hash, found), [&](const prefix_location& each) {
        return MatchesUpstream(each, name_hash) &&
               each.seen_at >= path.cache_trusted_since();
      });
}

std::size_t least_cost::CountCached(const link& path) const {
  return locations_.Count(Hash64(path.upstream_name()),
                          path.cache_trusted_since());
}

void least_cost::ObserveReclaim(std::string_view domain, time_point now) {
  const std::size_t slot =
      static_cast<std::uint32_t>(Hash64(domain)) % kReclaimSlots;
  last_reclaims_[slot].store(now.time_since_epoch().count(),
                             std::memory_order_relaxed);
}

void least_cost::SetMembers(std::uint32_t members) {
  members_.store(std::max<std::uint32_t>(members, 1),
                 std::memory_order_relaxed);
}

}  // namespace anvilloom
