#include "tools/experiment_limits.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iomanip>
#include <memory>
#include <queue>
#include <string_view>
#include <vector>

#include "common/random.h"
#include "contracts/limiter.h"
#include "links/retry_budget.h"

namespace anvilloom {

namespace {

constexpr time_point kStart{std::chrono::seconds(1000)};
constexpr std::uint32_t kTokensPerSecond = 7000;
constexpr std::uint32_t kInstances = 7;
constexpr std::size_t kRunSeconds = 120;
constexpr std::size_t kWindowSeconds = 10;

// When tokens are charged.
enum class charging_policy {
  kReserveAndSettle,  // The estimate at the start, corrected at the end.
  kEstimateOnly,      // The estimate at the start, never corrected.
  kActualOnly,        // The actual count at the end.
};

std::string_view Name(charging_policy policy) {
  switch (policy) {
    case charging_policy::kReserveAndSettle:
      return "reserve and settle";
    case charging_policy::kEstimateOnly:
      return "plain bucket, estimate";
    case charging_policy::kActualOnly:
      return "plain bucket, actual";
  }
  return "unknown";
}

struct limited_instance {
  limiter limits;
  limit_share share;
  // Delay until it observes a change of members.
  duration membership_lag{0};
};

struct running_answer {
  time_point ends_at;
  limit_grant grant;
  std::shared_ptr<limited_instance> owner;
  std::uint32_t tokens = 0;
  bool operator<(const running_answer& other) const {
    return ends_at > other.ends_at;
  }
};

struct limit_usage {
  // Tokens used over the whole run and in the window with the most, as a share
  // of the limit.
  double mean = 0;
  double max_window = 0;
};

// Runs a load of about twice the limit. Tokens count in the second in which
// their answer began.
limit_usage RunLimits(charging_policy policy, std::uint64_t seed) {
  split_mix random(seed);
  workspace limited_workspace;
  limited_workspace.tokens_per_second = kTokensPerSecond;
  std::vector<std::shared_ptr<limited_instance>> instances;
  for (std::uint32_t i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_shared<limited_instance>());
    instances.back()->share.Update(kInstances, kStart);
    instances.back()->membership_lag =
        std::chrono::milliseconds(500 + random.NextBelow(2500));
  }
  const time_point failure_at = kStart + std::chrono::seconds(40);
  const time_point join_at = kStart + std::chrono::seconds(80);
  std::priority_queue<running_answer> running;
  std::array<double, kRunSeconds> used{};
  for (time_point now = kStart;
       now < kStart + std::chrono::seconds(kRunSeconds);
       now += std::chrono::milliseconds(5)) {
    if (now == failure_at) {
      instances.pop_back();
    }
    if (now == join_at) {
      instances.push_back(std::make_shared<limited_instance>());
      instances.back()->share.Join(now);
    }
    for (const auto& instance : instances) {
      const std::uint32_t failed =
          now >= failure_at + instance->membership_lag ? 1 : 0;
      const std::uint32_t joined =
          now >= join_at + instance->membership_lag ? 1 : 0;
      instance->share.Update(kInstances - failed + joined, now);
    }
    while (!running.empty() && running.top().ends_at <= now) {
      const running_answer& ended = running.top();
      if (policy != charging_policy::kEstimateOnly) {
        ended.owner->limits.Settle(ended.grant, ended.tokens);
      }
      running.pop();
    }
    // 140 answers a second of 100 tokens on average, estimated at 100 to 300.
    if (random.NextUnit() >= 0.7) {
      continue;
    }
    const std::uint32_t tokens = 50 + random.NextBelow(101);
    const std::uint32_t estimate = tokens * (100 + random.NextBelow(200)) / 100;
    const auto& instance = instances[random.NextBelow(
        static_cast<std::uint32_t>(instances.size()))];
    // A bucket that is charged at the end of a request admits requests until it
    // is empty.
    const std::uint32_t reserved =
        policy == charging_policy::kActualOnly ? 1 : estimate;
    const limit_grant grant = instance->limits.Reserve(
        limited_workspace, instance->share, reserved, now);
    if (grant.refused) {
      continue;
    }
    const auto second = static_cast<std::size_t>(
        std::chrono::floor<std::chrono::seconds>(now - kStart).count());
    used[second] += tokens;
    running.push({now + std::chrono::milliseconds(50 * tokens), grant, instance,
                  tokens});
  }
  limit_usage result;
  for (std::size_t from = 0; from < kRunSeconds; ++from) {
    result.mean += used[from] / (kRunSeconds * 1.0 * kTokensPerSecond);
    if (from + kWindowSeconds <= kRunSeconds) {
      double window = 0;
      for (std::size_t i = from; i < from + kWindowSeconds; ++i) {
        window += used[i];
      }
      result.max_window =
          std::max(result.max_window,
                   window / (kWindowSeconds * 1.0 * kTokensPerSecond));
    }
  }
  return result;
}

// Returns the attempts per request when every attempt fails, with up to three
// retries each.
double Amplification(bool with_budget, std::uint64_t seed) {
  constexpr std::uint32_t kRequests = 20'000;
  constexpr std::uint32_t kWarmUpRequests = 2'000;
  split_mix random(seed);
  std::vector<std::unique_ptr<retry_budget>> budgets;
  for (std::uint32_t i = 0; i < kInstances; ++i) {
    budgets.push_back(std::make_unique<retry_budget>());
  }
  std::uint32_t attempts = 0;
  for (std::uint32_t request = 0; request < kWarmUpRequests + kRequests;
       ++request) {
    retry_budget& budget = *budgets[random.NextBelow(kInstances)];
    budget.Request(100);
    if (request < kWarmUpRequests) {
      continue;
    }
    ++attempts;
    for (int repeat = 0; repeat < 3; ++repeat) {
      if (with_budget && budget.RequestRetry({.repeatable = true}, kStart) !=
                             retry_verdict::kRetry) {
        break;
      }
      ++attempts;
    }
  }
  return attempts / static_cast<double>(kRequests);
}

}  // namespace

void PrintLimits(std::ostream& out, std::uint32_t seeds) {
  out << "\n== limits: " << kInstances
      << " entry instances under about twice the limit, one fails, one joins\n"
      << std::fixed << std::setprecision(3);
  for (const charging_policy policy :
       {charging_policy::kReserveAndSettle, charging_policy::kEstimateOnly,
        charging_policy::kActualOnly}) {
    double mean = 0;
    double worst = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      const limit_usage usage = RunLimits(policy, seed);
      mean += usage.mean / seeds;
      worst = std::max(worst, usage.max_window);
    }
    out << std::left << std::setw(28) << Name(policy) << "used/limit " << mean
        << ", highest 10 s of any seed " << worst << '\n';
  }
  for (const bool with_budget : {true, false}) {
    double worst = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      worst = std::max(worst, Amplification(with_budget, seed));
    }
    out << "attempts per request, all failing, "
        << (with_budget ? "with" : "without") << " budget: worst " << worst
        << '\n';
  }
}

}  // namespace anvilloom
