// Guards against herding: instances that know the load of upstreams from the
// same lagging reports choose the same upstream until the next report.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "common/hash.h"
#include "common/random.h"
#include "links/placement.h"

namespace anvilloom {

namespace {

constexpr std::size_t kInstances = 60;
constexpr std::size_t kUpstreams = 80;
constexpr duration kReportInterval = std::chrono::milliseconds(600);
constexpr double kUtilization = 0.6;

// Simulates, in virtual time, instances that send calls to upstreams, each of
// which computes one prompt at a time.
class herd_simulation {
 public:
  // For each upstream, `co_senders` instances send each other immediate updates
  // of their calls; the others rely on reports. With `shared_prefixes` above
  // zero, each prompt starts with one of that many shared prefixes, which
  // upstreams cache. The prefix makes up two thirds of a prompt on average.
  explicit herd_simulation(std::size_t co_senders,
                           std::uint32_t shared_prefixes = 0)
      : co_senders_(co_senders),
        shared_prefix_count_(shared_prefixes),
        locations_(kInstances) {
    is_co_sender_.assign(kInstances, std::vector<bool>(kUpstreams));
    for (std::size_t i = 0; i < kInstances; ++i) {
      pools_.emplace_back().model = true;
      for (std::size_t u = 0; u < kUpstreams; ++u) {
        upstream_announcement announced;
        announced.id = "u" + std::to_string(u);
        announced.slots = 1000;
        pools_[i].members.push_back(
            std::make_shared<pooled_upstream>(announced));
        is_co_sender_[i][u] = IsCoSender(i, u);
        pools_[i].members[u]->SetHasFreshLoad(is_co_sender_[i][u]);
      }
    }
    cached_prefixes_.resize(kUpstreams);
    reported_tokens_.assign(kInstances, std::vector<std::uint32_t>(kUpstreams));
    free_at_.assign(kUpstreams, time_point{});
  }

  // Mean number of prefills of each shared prefix.
  double PrefillsPerSharedPrefix() const {
    return static_cast<double>(shared_prefills_) / shared_prefix_count_;
  }

  // Mean queueing time of a call, in milliseconds.
  double MeanWaitMs(std::size_t calls) {
    constexpr double kMeanTokens = 3'000;
    const double arrival_interval_us =
        kMeanTokens * costs_.engine.prefill_us_per_token * 1.05 /
        (kUtilization * static_cast<double>(kUpstreams));
    double now_us = 1e6;
    double total_wait_ms = 0;
    for (std::size_t call = 0; call < calls; ++call) {
      now_us -= std::log(1 - random_.NextUnit()) * arrival_interval_us;
      const time_point now{duration(static_cast<std::int64_t>(now_us))};
      Advance(now);
      const auto tokens = static_cast<std::uint32_t>(
          -std::log(1 - random_.NextUnit()) * kMeanTokens);
      total_wait_ms += static_cast<double>(Send(now, tokens).count()) / 1000;
    }
    return total_wait_ms / static_cast<double>(calls);
  }

 private:
  struct prefill {
    time_point ends;
    std::size_t instance;
    std::size_t upstream;
    std::uint32_t tokens;

    friend bool operator>(const prefill& left, const prefill& right) {
      return left.ends > right.ends;
    }
  };

  // Co-senders are the first instances in an order that differs by upstream.
  bool IsCoSender(std::size_t instance, std::size_t upstream) const {
    const auto rank = [upstream](std::size_t each) {
      return CombineHash(Hash64(std::to_string(each)), upstream);
    };
    std::size_t before = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      before += rank(i) < rank(instance) ? 1 : 0;
    }
    return before < co_senders_;
  }

  duration Send(time_point now, std::uint32_t tokens) {
    const std::size_t instance = random_.NextBelow(kInstances);
    prompt_shape prompt;
    prompt.prompt_tokens = tokens;
    std::uint64_t prefix = 0;
    if (shared_prefix_count_ > 0) {
      prefix = 1 + random_.NextBelow(shared_prefix_count_);
      prompt.prompt_tokens += kSharedPrefixTokens;
      prompt.prefixes = {{Hash64(std::to_string(prefix)), kSharedPrefixTokens},
                         {random_.Next(), prompt.prompt_tokens}};
    }
    placement_request request;
    request.prompt = &prompt;
    request.now = now;
    request.random_seed = random_.Next();
    request.can_fetch = shared_prefix_count_ > 0;
    const placement chosen =
        PlaceCall(pools_[instance], locations_[instance], costs_, request);
    RecordPlacement(locations_[instance], *chosen.target, prompt, now);
    std::size_t upstream = 0;
    while (pools_[instance].members[upstream] != chosen.target) {
      ++upstream;
    }
    const std::uint32_t tokens_to_compute =
        ComputePrompt(chosen, upstream, prefix, tokens);
    const time_point starts_at = std::max(now, free_at_[upstream]);
    free_at_[upstream] =
        starts_at +
        costs_.engine.PrefillTime({tokens_to_compute, prompt.prompt_tokens});
    chosen.target->Begin(chosen.unread_tokens);
    prefills_.push(
        {free_at_[upstream], instance, upstream, chosen.unread_tokens});
    NotifyCoSenders(upstream);
    return starts_at - now;
  }

  // Returns the tokens that the upstream has to compute, and records that it
  // caches the shared prefix.
  std::uint32_t ComputePrompt(const placement& chosen,
                              std::size_t upstream,
                              std::uint64_t prefix,
                              std::uint32_t own_tokens) {
    if (prefix == 0 || !cached_prefixes_[upstream].insert(prefix).second) {
      return own_tokens;
    }
    if (chosen.fetch_from) {
      const std::string& source = chosen.fetch_from->announced().id;
      if (cached_prefixes_[std::stoul(source.substr(1))].contains(prefix)) {
        return own_tokens;
      }
    }
    ++shared_prefills_;
    return own_tokens + kSharedPrefixTokens;
  }

  void Advance(time_point now) {
    while (!prefills_.empty() && prefills_.top().ends <= now) {
      const prefill done = prefills_.top();
      prefills_.pop();
      pooled_upstream& target = *pools_[done.instance].members[done.upstream];
      target.EndPrefill(done.tokens);
      target.End();
      NotifyCoSenders(done.upstream);
    }
    if (now >= next_report_at_) {
      next_report_at_ = now + kReportInterval;
      for (std::size_t u = 0; u < kUpstreams; ++u) {
        for (std::size_t i = 0; i < kInstances; ++i) {
          reported_tokens_[i][u] = pools_[i].members[u]->unread_tokens();
        }
        for (std::size_t i = 0; i < kInstances; ++i) {
          UpdateView(i, u);
        }
      }
    }
  }

  void NotifyCoSenders(std::size_t upstream) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (is_co_sender_[i][upstream]) {
        UpdateView(i, upstream);
      }
    }
  }

  void UpdateView(std::size_t instance, std::size_t upstream) {
    std::uint32_t remote_tokens = 0;
    const bool co_sender = is_co_sender_[instance][upstream];
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (i != instance) {
        remote_tokens += co_sender && is_co_sender_[i][upstream]
                             ? pools_[i].members[upstream]->unread_tokens()
                             : reported_tokens_[i][upstream];
      }
    }
    pools_[instance].members[upstream]->SetPeerLoad(0, remote_tokens);
  }

  static constexpr std::uint32_t kSharedPrefixTokens = 6'000;

  std::size_t co_senders_;
  std::uint32_t shared_prefix_count_;
  placement_costs costs_{.engine = {0, 31.0, 0.00074, 0, 31.0, 31.0, 1},
                         .transfer_us_per_token = 1.8};
  // Prefix locations known to each instance, and the shared prefixes cached at
  // each upstream.
  std::vector<prefix_locations> locations_;
  std::vector<std::set<std::uint64_t>> cached_prefixes_;
  std::uint64_t shared_prefills_ = 0;
  split_mix random_{7};
  std::vector<upstream_pool> pools_;
  // Whether an instance receives immediate updates of the load of an upstream.
  std::vector<std::vector<bool>> is_co_sender_;
  std::vector<std::vector<std::uint32_t>> reported_tokens_;
  std::vector<time_point> free_at_;
  std::priority_queue<prefill, std::vector<prefill>, std::greater<>> prefills_;
  time_point next_report_at_;
};

}  // namespace

SCENARIO("Instances that exchange immediate updates do not herd",
         "[placement_herd]") {
  constexpr std::size_t kCalls = 12'000;
  const double wait_with_reports = herd_simulation(0).MeanWaitMs(kCalls);
  const double wait_with_updates = herd_simulation(7).MeanWaitMs(kCalls);
  CAPTURE(wait_with_reports, wait_with_updates);

  THEN("calls wait at least a third less than with reports alone") {
    REQUIRE(wait_with_updates < wait_with_reports * 2 / 3);
  }
}

SCENARIO("Calls with shared prompt prefixes do not herd at the homes",
         "[placement_herd]") {
  constexpr std::size_t kCalls = 24'000;
  constexpr std::uint32_t kSharedPrefixes = 110;
  herd_simulation without_shared(7);
  herd_simulation with_shared(7, kSharedPrefixes);
  const double wait_without_shared = without_shared.MeanWaitMs(kCalls);
  const double wait_with_shared = with_shared.MeanWaitMs(kCalls);
  std::cout << "wait ms without shared prefixes " << wait_without_shared
            << ", with " << wait_with_shared << "; prefills per shared prefix "
            << with_shared.PrefillsPerSharedPrefix() << '\n';
  CAPTURE(wait_without_shared, wait_with_shared,
          with_shared.PrefillsPerSharedPrefix());

  THEN("they wait less than twice as long as calls without shared prefixes") {
    REQUIRE(wait_with_shared < wait_without_shared * 2);
  }

  THEN("a shared prefix is computed by fewer than half of the upstreams") {
    REQUIRE(with_shared.PrefillsPerSharedPrefix() < kUpstreams / 2.0);
  }
}

}  // namespace anvilloom
