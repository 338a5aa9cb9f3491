#include "links/placement.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <vector>

#include "common/hash.h"
#include "common/random.h"
#include "links/first_token_admission.h"

namespace anvilloom {

namespace {

// Below this, setting up the fetch takes longer than computing the tokens.
constexpr std::uint32_t kMinFetchedTokens = 512;
// Engines evict the least recently used prefixes, so older locations are
// ignored.
constexpr duration kLocationLifetime = std::chrono::seconds(30);
// Shorter prefixes are shared by too many calls to be assigned to one home.
constexpr std::uint32_t kMinHomePrefixTokens = 256;

bool IsEligible(const pooled_upstream& each, const placement_request& request) {
  return !each.leaving() && each.refuses_until().Expired(request.now) &&
         (request.versions == nullptr ||
          request.versions->Allows(each.announced().version)) &&
         std::ranges::find(request.tried, each.hash()) == request.tried.end();
}

// Returns the prefix that selects the home: the longest one that other calls
// can share. The last part of a prompt is private to the call or its session.
const prompt_prefix* HomePrefix(const prompt_shape& prompt) {
  const std::span<const prompt_prefix> shared = prompt.Shared();
  return shared.empty() || shared.back().tokens < kMinHomePrefixTokens
             ? nullptr
             : &shared.back();
}

class placement_search {
 public:
  placement_search(const upstream_pool& pool,
                   const prefix_locations& locations,
                   const placement_costs& costs,
                   const placement_request& request)
      : pool_(pool), locations_(locations), costs_(costs), question_(request) {}

  placement Run() {
    const bool any_available =
        std::ranges::any_of(pool_.members, [&](auto& each) {
          return IsEligible(*each, question_) &&
                 !each->InBackoff(question_.now);
        });
    for (const auto& each : pool_.members) {
      if (IsEligible(*each, question_) &&
          !(any_available && each->InBackoff(question_.now))) {
        eligible_.push_back(&each);
      }
    }
    reports_load_ = std::ranges::any_of(
        eligible_, [](auto* each) { return (*each)->reports_load(); });
    ApplyPacing();
    // Instances exchange immediate load updates only for models.
    if (pool_.model) {
      std::ranges::copy_if(
          eligible_, std::back_inserter(fresh_load_upstreams_),
          [](auto* each) { return (*each)->has_fresh_load(); });
    }
    if (fresh_load_upstreams_.empty()) {
      fresh_load_upstreams_ = eligible_;
    }
    all_loads_fresh_ = fresh_load_upstreams_.size() == eligible_.size();
    CollectCandidates();
    const auto largest_cache = FindLargestCache();
    placement best;
    double lowest = std::numeric_limits<double>::max();
    for (const candidate& each : candidates_) {
      const placement evaluated = Evaluate(each, largest_cache);
      const double cost = Cost(evaluated);
      if (cost < lowest) {
        lowest = cost;
        best = evaluated;
      }
    }
    if (pool_.model && best.target && !MeetsTarget(best)) {
      return FindInTime(largest_cache).value_or(best);
    }
    return best;
  }

 private:
  using member = std::shared_ptr<pooled_upstream>;

  struct candidate {
    const member* upstream = nullptr;
    // Prompt tokens that it probably caches.
    std::uint32_t cached_tokens = 0;
    // Whether this instance has sent them there.
    bool is_known = true;
  };

  // Keeps the larger number of tokens if the upstream is already a candidate.
  void Add(const candidate& added) {
    const auto found =
        std::ranges::find(candidates_, added.upstream, &candidate::upstream);
    if (found == candidates_.end()) {
      candidates_.push_back(added);
    } else if (added.cached_tokens > found->cached_tokens) {
      *found = added;
    }
  }

  // Removes upstreams that are paced and not admitted for this call. The pace
  // holds only while most of the service is there to take the other calls.
  void ApplyPacing() {
    const auto is_paced = [&](const member* each) {
      return (*each)->IsPaced(reports_load_, question_.now);
    };
    const auto paced = std::ranges::count_if(eligible_, is_paced);
    if (!CanPace(static_cast<std::size_t>(paced), eligible_.size())) {
      return;
    }
    std::vector<const member*> admitted;
    std::ranges::copy_if(
        eligible_, std::back_inserter(admitted), [&](const member* each) {
          return !is_paced(each) ||
                 (*each)->PaceAdmits(question_.now, question_.random_seed);
        });
    const bool any_free = std::ranges::any_of(
        admitted, [&](const member* each) { return HasFreeSlot(**each); });
    if (any_free) {
      eligible_ = std::move(admitted);
    }
  }

  void CollectCandidates() {
    for (const prompt_prefix& prefix : question_.prompt->prefixes) {
      AddRecordedLocations(prefix);
    }
    if (const prompt_prefix* home = HomePrefix(*question_.prompt)) {
      AddHomes(*home);
    }
    AddRandom();
  }

  void AddRandom() {
    split_mix random(question_.random_seed);
    if (WeighsAnswerTime()) {
      AddDistinct(random);
      return;
    }
    for (int i = 0; i < kRandomCandidates && !fresh_load_upstreams_.empty();
         ++i) {
      const auto index = random.NextBelow(
          static_cast<std::uint32_t>(fresh_load_upstreams_.size()));
      Add({fresh_load_upstreams_[index], 0});
    }
  }

  // Adds distinct upstreams of a plain service. It has only a few of them, so
  // that two draws would often be the same one. Each is drawn in proportion to
  // the calls that it can answer: the load that is known may be too old to tell
  // a slow upstream from a fast one.
  void AddDistinct(split_mix& random) {
    std::vector<std::pair<const member*, double>> left;
    double sum = 0;
    for (const member* each : eligible_) {
      const double slots = std::max((*each)->slots(), 1U);
      left.emplace_back(each, slots / TimeFactor(**each));
      sum += left.back().second;
    }
    for (int i = 0; i < kPlainCandidates && !left.empty(); ++i) {
      double at = random.NextUnit() * sum;
      auto drawn = left.begin();
      while (std::next(drawn) != left.end() && at >= drawn->second) {
        at -= drawn->second;
        ++drawn;
      }
      Add({drawn->first, 0});
      sum -= drawn->second;
      left.erase(drawn);
    }
  }

  // Expected time of work relative to that of the service.
  double TimeFactor(const pooled_upstream& each) const {
    return each.pace(question_.now) * each.slowdown(question_.now);
  }

  // Upstreams that this instance has sent the prefix to.
  void AddRecordedLocations(const prompt_prefix& prefix) {
    prefix_locations::found_locations found;
    for (const prefix_location& location :
         locations_.Find(prefix.hash, found)) {
      if (location.seen_at + kLocationLifetime <= question_.now) {
        continue;
      }
      for (const member* each : eligible_) {
        if (!MatchesUpstream(location, (*each)->hash())) {
          continue;
        }
        if (HasFreshLoad(**each)) {
          Add({each, prefix.tokens});
        } else {
          RecordFetchSource({each, prefix.tokens});
        }
      }
    }
  }

  bool HasFreshLoad(const pooled_upstream& each) const {
    return all_loads_fresh_ || each.has_fresh_load();
  }

  // Records an upstream that is no candidate, but caches a prefix that others
  // can fetch.
  void RecordFetchSource(const candidate& source) {
    if (source.cached_tokens > fetch_source_.cached_tokens) {
      fetch_source_ = source;
    }
  }

  // Whether this instance has sent the prefix anywhere.
  bool HasSent(const prompt_prefix& prefix) const {
    return fetch_source_.cached_tokens >= prefix.tokens ||
           std::ranges::any_of(candidates_, [&](const candidate& each) {
             return each.cached_tokens >= prefix.tokens;
           });
  }

  // All instances compute the same home of a prefix and assume that it caches
  // the prefix. If all of them always sent there, lagging reports could not
  // reflect the load. Therefore an instance without immediate updates of the
  // home's load sends only its first call there. Later calls go to the first of
  // the upstreams with immediate updates, which fetch the prefix from the home.
  void AddHomes(const prompt_prefix& prefix) {
    const member* home = FirstByRendezvous(eligible_, prefix, nullptr);
    if (home == nullptr) {
      return;
    }
    if (HasFreshLoad(**home) || !HasSent(prefix)) {
      Add({home, prefix.tokens, false});
    } else {
      RecordFetchSource({home, prefix.tokens, false});
    }
    const member* first =
        FirstByRendezvous(fresh_load_upstreams_, prefix, nullptr);
    Add({first, 0});
    if (const member* second =
            FirstByRendezvous(fresh_load_upstreams_, prefix, first)) {
      Add({second, 0});
    }
  }

  // Returns the upstream with the highest rendezvous score, other than
  // `excluded`.
  static const member* FirstByRendezvous(
      const std::vector<const member*>& upstreams,
      const prompt_prefix& prefix,
      const member* excluded) {
    const member* first = nullptr;
    std::uint64_t highest = 0;
    for (const member* each : upstreams) {
      const std::uint64_t score = CombineHash(prefix.hash, (*each)->hash());
      if (each != excluded && (first == nullptr || score > highest)) {
        first = each;
        highest = score;
      }
    }
    return first;
  }

  bool MeetsTarget(const placement& evaluated) const {
    const duration limit = first_token_admission::Limit(
        {evaluated.expected_wait, evaluated.own_time, question_.latency_target,
         duration::max()});
    return evaluated.expected_wait + evaluated.own_time <= limit;
  }

  // Returns the first upstream after a random one that has a free slot and
  // meets the target. Any other order would lead all instances to the same one.
  std::optional<placement> FindInTime(const candidate& largest_cache) const {
    const auto& upstreams = fresh_load_upstreams_;
    split_mix random(question_.random_seed);
    const auto first =
        random.NextBelow(static_cast<std::uint32_t>(upstreams.size()));
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      const member& each = *upstreams[(first + i) % upstreams.size()];
      const placement evaluated = Evaluate({&each, 0}, largest_cache);
      if (MeetsTarget(evaluated) && HasFreeSlot(*each)) {
        return evaluated;
      }
    }
    return std::nullopt;
  }

  bool HasFreeSlot(const pooled_upstream& each) const {
    const std::uint32_t slots = each.slots();
    return slots == 0 || ExpectedRunning(each) < slots;
  }

  double ExpectedRunning(const pooled_upstream& each) const {
    return WeighsAnswerTime()
               ? each.ExpectedPlainRunning(ToDuration(costs_.plain_answer_us),
                                           question_.now)
               : each.ExpectedRunning(question_.now);
  }

  // Returns the upstream that probably caches the most tokens of the prompt.
  candidate FindLargestCache() const {
    if (!question_.can_fetch) {
      return {};
    }
    candidate largest_cache = fetch_source_;
    for (const candidate& each : candidates_) {
      if (each.cached_tokens > largest_cache.cached_tokens) {
        largest_cache = each;
      }
    }
    return largest_cache;
  }

  placement Evaluate(const candidate& each,
                     const candidate& largest_cache) const {
    placement evaluated;
    evaluated.target = *each.upstream;
    evaluated.cache_known = each.is_known;
    const std::uint32_t total_tokens = question_.prompt->prompt_tokens;
    evaluated.unread_tokens =
        total_tokens - std::min(total_tokens, each.cached_tokens);
    if (largest_cache.upstream != nullptr &&
        largest_cache.upstream != each.upstream &&
        largest_cache.cached_tokens >= each.cached_tokens + kMinFetchedTokens) {
      evaluated.fetch_from = *largest_cache.upstream;
      evaluated.cache_known = each.is_known && largest_cache.is_known;
      evaluated.fetched_tokens =
          std::min(largest_cache.cached_tokens - each.cached_tokens,
                   evaluated.unread_tokens);
      evaluated.unread_tokens -= evaluated.fetched_tokens;
    }
    const pooled_upstream& target = *evaluated.target;
    const double pace = TimeFactor(target);
    evaluated.running = target.total_running();
    evaluated.prefill_time = Scaled(
        costs_.engine.PrefillTime({evaluated.unread_tokens, total_tokens}),
        pace);
    evaluated.transfer_time =
        ToDuration(evaluated.fetched_tokens * costs_.transfer_us_per_token);
    evaluated.own_time = evaluated.prefill_time + evaluated.transfer_time +
                         ToDuration(costs_.engine.fixed_us);
    evaluated.queued_tokens = target.total_unread_tokens();
    evaluated.expected_wait = ToDuration(
        evaluated.queued_tokens * costs_.engine.queued_us_per_token * pace);
    return evaluated;
  }

  static duration Scaled(duration time, double factor) {
    return ToDuration(static_cast<double>(time.count()) * factor);
  }

  double Cost(const placement& evaluated) const {
    const pooled_upstream& each = *evaluated.target;
    const double per_token = costs_.engine.mean_us_per_token;
    double cost = static_cast<double>(evaluated.expected_wait.count());
    cost += static_cast<double>(evaluated.prefill_time.count()) *
            costs_.prefill_weight;
    cost += static_cast<double>(evaluated.transfer_time.count());
    cost += evaluated.fetched_tokens * per_token * costs_.fetch_share;
    const double running = ExpectedRunning(each);
    if (WeighsAnswerTime()) {
      cost += PlainCost(each, running);
    } else {
      cost += running * (pool_.model ? per_token * costs_.running_tokens
                                     : costs_.plain_running_us);
    }
    cost += each.failed_permille() * costs_.failure_share *
            static_cast<double>(question_.latency_target.count()) / 1000;
    // Without a free slot, a call waits until another one ends.
    if (!HasFreeSlot(each)) {
      cost += kFullPenaltyUs;
    }
    if (each.announced().domain != question_.domain) {
      cost += costs_.other_domain_us;
    }
    return cost;
  }

  // Whether the time of answers is compared, which needs upstreams of a plain
  // service that report their load.
  bool WeighsAnswerTime() const {
    return !pool_.model && reports_load_ && costs_.plain_answer_us > 0;
  }

  // Expected time of the answer of a plain upstream, and the risk that it has
  // no free slot.
  double PlainCost(const pooled_upstream& each, double running) const {
    const double time = costs_.plain_answer_us * TimeFactor(each);
    const std::uint32_t slots = each.slots();
    if (slots == 0) {
      return time + running * costs_.plain_running_us;
    }
    const double used = (running + 1) / slots;
    return time + time * std::max(used - 1, 0.0) +
           costs_.plain_answer_us * costs_.plain_full_share * used;
  }

  // Two random choices give most of the benefit of comparing all upstreams.
  // More of them divert calls from the upstreams that cache their prompts.
  static constexpr int kRandomCandidates = 2;
  // With more of them, instances whose figures are old choose the same
  // upstream: measured in docs/design/uneven-engines.md.
  static constexpr int kPlainCandidates = 2;
  // Cost of an upstream without a free slot: larger than the sum of all other
  // costs in normal operation.
  static constexpr double kFullPenaltyUs = 1e6;

  const upstream_pool& pool_;
  const prefix_locations& locations_;
  const placement_costs& costs_;
  const placement_request& question_;
  std::vector<const member*> eligible_;
  // Eligible upstreams with immediate load updates; all of the eligible ones if
  // there are none.
  std::vector<const member*> fresh_load_upstreams_;
  bool all_loads_fresh_ = false;
  // Whether an eligible upstream reports its load.
  bool reports_load_ = false;
  candidate fetch_source_;
  std::vector<candidate> candidates_;
};

}  // namespace

placement PlaceCall(const upstream_pool& pool,
                    const prefix_locations& locations,
                    const placement_costs& costs,
                    const placement_request& request) {
  return placement_search(pool, locations, costs, request).Run();
}

void RecordPlacement(prefix_locations& locations,
                     const pooled_upstream& target,
                     const prompt_shape& prompt,
                     time_point now) {
  for (const prompt_prefix& each : prompt.prefixes) {
    locations.Record(each.hash, target.hash(), now);
  }
}

}  // namespace anvilloom
