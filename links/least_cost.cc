#include "links/least_cost.h"

#include <algorithm>
#include <cstddef>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Used until an upstream's own figures have been observed.
constexpr double kPriorPrefillUs = 200;
constexpr double kPriorIntervalUs = 25'000;
// Batches are filled to this share of the target token interval, since reports
// lag and a batch can't be made smaller afterwards.
constexpr double kIntervalMargin = 0.9;
// Batches shrink from this observed share of late tokens on, and are halved
// where the share reaches what the contracts allow, 5 in 100: prefills of other
// requests delay tokens by more than the batch size tells.
constexpr double kLateShareFrom = 0.005;
constexpr double kLateShareAllowed = 0.025;
constexpr double kSmallestBatchShare = 0.1;
// The chance that a prefix is cached where these say so.
constexpr double kCachedIfRecorded = 0.95;
constexpr double kCachedIfDistrusted = 0.4;
constexpr double kCachedIfHome = 0.5;
// Reclaims per reclaimable instance and microsecond: two a day, and one a
// minute in a failure domain that has had a notice in the last ten minutes.
constexpr double kUsualHazard = 2.0 / (24 * 3600e6);
constexpr double kWaveHazard = 1.0 / 60e6;
constexpr duration kWaveMemory = std::chrono::minutes(10);
// A token that is computed again counts as this many, since a caller waits for
// it a second time.
constexpr double kRecomputeWeight = 10;
// Up to this many candidates, each is costed. Above, only the rendezvous homes
// and a sample are, which bounds the decision's time.
constexpr std::size_t kScanAll = 32;
constexpr std::size_t kSample = 12;

// What one candidate would cost.
struct candidate_cost {
  double cost = 0;
  double first_token_us = 0;
  double interval_us = 0;
  // How far the contract is missed, in microseconds; zero if it is met.
  double lateness_us = 0;
};

double ObservedOr(double observed, double prior) {
  return observed > 0 ? observed : prior;
}

}  // namespace

// One decision: costs candidates and keeps the best.
class cost_scan {
 public:
  cost_scan(const least_cost& policy,
            const topology& world,
            const route_request& request,
            time_point now)
      : policy_(policy),
        parts_(policy.parts_),
        request_(request),
        now_(now),
        candidates_(world.CandidatesOf(request.wanted)),
        target_us_(static_cast<double>(
            world.at(request.wanted).terms.token_interval_target.count())),
        members_(policy.members_.load(std::memory_order_relaxed)) {
    if (parts_.locality && request.prompt_tokens > 0) {
      homes_ = world.HomesOf(request.wanted).Find(request.prefix_hash);
      locations_ = policy.locations_.Find(request.prefix_hash, found_);
    }
  }

  std::optional<route_estimate> Run() {
    if (candidates_.empty()) {
      return std::nullopt;
    }
    const auto size = static_cast<std::uint32_t>(candidates_.size());
    split_mix random(thread_random().Next());
    std::array<std::uint32_t, kScanAll> positions;
    std::size_t count = 0;
    if (size <= kScanAll) {
      // A random start breaks ties differently at each entry instance.
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
      for (std::size_t i = 0; i < kSample; ++i) {
        positions[count++] = random.NextBelow(size);
      }
    }
    const auto chosen = std::span(positions).first(count);
    // The links are scattered and written by other threads: their cache misses
    // should overlap.
    for (const std::uint32_t position : chosen) {
      candidates_[position].path->Prefetch();
    }
    for (const std::uint32_t position : chosen) {
      Consider(position);
    }
    if (!best_ && size > kScanAll) {
      // The sample held none that may take the request; any is better.
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
    const double alone = IntervalAlone(path);
    const double usable = UsableBatch(candidate, alone);
    held_sum_ += held;
    capacity_sum_ += Capacity(candidate, usable);
    const candidate_cost cost = Cost(candidate, position, held, usable, alone);
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

  static double IntervalAlone(const link& path) {
    return ObservedOr(path.interval_alone_us(), kPriorIntervalUs);
  }

  static double IntervalAt(double alone, double batch) {
    return alone * (1 + link::kIntervalGrowth * (batch - 1));
  }

  // Largest batch that keeps the token interval within the target.
  double UsableBatch(const route_candidate& candidate, double alone) const {
    if (!parts_.batching) {
      return candidate.slots;
    }
    constexpr double kRequestsPerGrowth = 1 / link::kIntervalGrowth;
    const double within =
        (target_us_ * kIntervalMargin / alone - 1) * kRequestsPerGrowth + 1;
    const double late = (candidate.path->late_share() - kLateShareFrom) /
                        (kLateShareAllowed - kLateShareFrom);
    const double kept = std::clamp(1 - late / 2, kSmallestBatchShare, 1.0);
    // At least one: an engine that had late tokens must be tried again, or its
    // late share would never fall.
    return std::max(1.0, std::min<double>(within, candidate.slots) * kept);
  }

  // Requests that count as full load. Where no batch would meet the target, or
  // nothing is known yet, refusing requests does not speed up the others, and
  // only the declared slots bound the batch.
  double Capacity(const route_candidate& candidate, double usable) const {
    const link& path = *candidate.path;
    const bool unknown = path.interval_alone_us() == 0;
    const bool out_of_reach =
        path.small_batch_interval_us() > target_us_ * kIntervalMargin;
    return unknown || out_of_reach ? candidate.slots : usable;
  }

  candidate_cost Cost(const route_candidate& candidate,
                      std::uint32_t position,
                      double held,
                      double usable,
                      double alone) const {
    const link& path = *candidate.path;
    const double prefill_rate =
        ObservedOr(path.prefill_us_per_token(), kPriorPrefillUs);
    const double prefill_us =
        UncachedTokens(candidate, position) * prefill_rate;
    const double batch = held + 1;
    const double interval =
        IntervalAt(alone, std::min<double>(batch, candidate.slots));
    const double answer = request_.answer_tokens;
    candidate_cost result;
    result.interval_us = interval;
    result.first_token_us = QueueTime(candidate, held, interval) + prefill_us +
                            (answer > 0 ? interval : 0);
    result.lateness_us = Lateness(path, result, batch, usable);
    const double decode_us =
        answer > 0 ? answer * alone * BatchShare(batch)
                   // Work without tokens, of plain services, prefers idle
                   // upstreams.
                   : kPriorIntervalUs * (1 + held / candidate.slots);
    const double spent_us = prefill_us + decode_us;
    const double price = parts_.price ? candidate.price_per_hour : 1;
    result.cost =
        price * (spent_us + ExpectedLoss(candidate, interval, prefill_rate));
    return result;
  }

  // Engine time per token, relative to a batch of one: the share of an
  // iteration that all requests of the batch pay for, and the delay that one
  // more request brings to each of them.
  double BatchShare(double batch) const {
    return parts_.batching ? 1 / batch + link::kIntervalGrowth * batch : 1;
  }

  // Time until a slot is free for this request.
  double QueueTime(const route_candidate& candidate,
                   double held,
                   double interval) const {
    double ahead = held;
    if (parts_.priorities && request_.rank != priority::kBatch) {
      // Engines let this request pass batch work.
      ahead -= std::min<double>(
          held, double{members_ * 1.0} * candidate.path->outstanding_batch());
    }
    const double over = ahead - candidate.slots + 1;
    if (over <= 0) {
      return 0;
    }
    // On average half of an answer is left of each running request.
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
      // With a notice, the answer should end before the upstream does.
      late += std::max(
          0.0, answered_us - static_cast<double>(
                                 path.reclaim_at().Remaining(now_).count()));
    }
    if (parts_.batching && answer > 0 && batch > usable) {
      // A batch above the usable size delays each of its requests.
      late += (batch - usable) / usable * expected.interval_us * answer;
    }
    return late;
  }

  // Prompt tokens that the candidate is expected to compute.
  double UncachedTokens(const route_candidate& candidate,
                        std::uint32_t position) const {
    const double prompt = request_.prompt_tokens;
    if (!parts_.locality || prompt == 0) {
      return prompt;
    }
    const double shared = request_.prefix_tokens > 0
                              ? std::min<double>(request_.prefix_tokens, prompt)
                              : prompt;
    return prompt - shared * CachedChance(candidate, position);
  }

  double CachedChance(const route_candidate& candidate,
                      std::uint32_t position) const {
    for (const prefix_location& location : locations_) {
      if (MatchesUpstream(location, candidate.name_hash)) {
        return location.seen_at >= candidate.path->cache_trusted_since()
                   ? kCachedIfRecorded
                   : kCachedIfDistrusted;
      }
    }
    // Other entry instances send the prefix to its first home that has room, so
    // the chance halves with each place down the list.
    double chance = kCachedIfHome;
    for (const std::uint16_t home : homes_) {
      if (home == position) {
        return chance;
      }
      chance /= 2;
    }
    return 0;
  }

  // Engine time expected to be lost to a reclaim before the answer ends.
  double ExpectedLoss(const route_candidate& candidate,
                      double interval,
                      double prefill_rate) const {
    if (!parts_.reclaim_risk || !candidate.reclaimable) {
      return 0;
    }
    const std::size_t slot = candidate.domain_hash % least_cost::kDomainSlots;
    const monotonic::rep last =
        policy_.reclaims_[slot].load(std::memory_order_relaxed);
    const bool wave =
        last != 0 && now_ - time_point(duration(last)) < kWaveMemory;
    const double answer = request_.answer_tokens;
    const double exposed_us = answer * interval;
    const double chance =
        std::min(1.0, exposed_us * (wave ? kWaveHazard : kUsualHazard));
    return chance * (request_.prompt_tokens + answer / 2) * prefill_rate *
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
  const least_cost_parts& parts_;
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

std::optional<upstream_index> least_cost::Choose(const topology& world,
                                                 const route_request& request,
                                                 time_point now) {
  const auto estimate = cost_scan(*this, world, request, now).Run();
  if (!estimate) {
    return std::nullopt;
  }
  if (parts_.locality && request.prompt_tokens > 0) {
    locations_.Record(request.prefix_hash, estimate->name_hash, now);
  }
  return estimate->chosen;
}

std::optional<route_estimate> least_cost::Estimate(const topology& world,
                                                   const route_request& request,
                                                   time_point now) const {
  return cost_scan(*this, world, request, now).Run();
}

void least_cost::CacheStored(std::uint64_t prefix_hash,
                             std::string_view upstream_name,
                             time_point now) {
  locations_.Record(prefix_hash, Hash64(upstream_name), now);
}

void least_cost::CacheEvicted(std::uint64_t prefix_hash,
                              std::string_view upstream_name) {
  locations_.Forget(prefix_hash, Hash64(upstream_name));
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
      static_cast<std::uint32_t>(Hash64(domain)) % kDomainSlots;
  reclaims_[slot].store(now.time_since_epoch().count(),
                        std::memory_order_relaxed);
}

void least_cost::SetMembers(std::uint32_t members) {
  members_.store(std::max<std::uint32_t>(members, 1),
                 std::memory_order_relaxed);
}

}  // namespace anvilloom
