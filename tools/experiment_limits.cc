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
constexpr std::uint32_t kNodes = 7;
constexpr std::size_t kSeconds = 120;
constexpr std::size_t kWindow = 10;

// When tokens are charged.
enum class charging {
  kReserveAndSettle,  // The estimate first, corrected with the actual count.
  kEstimateOnly,      // The estimate, never corrected.
  kActualOnly,        // Nothing first, the actual count at the end.
};

std::string_view Name(charging how) {
  switch (how) {
    case charging::kReserveAndSettle:
      return "reserve and settle";
    case charging::kEstimateOnly:
      return "plain bucket, estimate";
    case charging::kActualOnly:
      return "plain bucket, actual";
  }
  return "unknown";
}

struct limit_node {
  limiter limits;
  limit_share share;
  // When it sees a change of members.
  duration lag{0};
};

struct running_answer {
  time_point ends_at;
  limit_grant grant;
  std::shared_ptr<limit_node> at;
  std::uint32_t tokens = 0;
  bool operator<(const running_answer& other) const {
    return ends_at > other.ends_at;
  }
};

struct limit_use {
  // Used tokens over the whole time and in the fullest window, as a share of
  // the limit.
  double mean = 0;
  double fullest = 0;
};

// Tokens begun in each second, as used in the end, under twice the limit.
limit_use RunLimits(charging how, std::uint64_t seed) {
  split_mix random(seed);
  workspace customer;
  customer.tokens_per_second = kTokensPerSecond;
  std::vector<std::shared_ptr<limit_node>> nodes;
  for (std::uint32_t i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_shared<limit_node>());
    nodes.back()->share.Update(kNodes, kStart);
    nodes.back()->lag = std::chrono::milliseconds(500 + random.NextBelow(2500));
  }
  const time_point dies_at = kStart + std::chrono::seconds(40);
  const time_point joins_at = kStart + std::chrono::seconds(80);
  std::priority_queue<running_answer> running;
  std::array<double, kSeconds> used{};
  for (time_point now = kStart; now < kStart + std::chrono::seconds(kSeconds);
       now += std::chrono::milliseconds(5)) {
    if (now == dies_at) {
      nodes.pop_back();
    }
    if (now == joins_at) {
      nodes.push_back(std::make_shared<limit_node>());
      nodes.back()->share.Join(now);
    }
    for (const auto& node : nodes) {
      const std::uint32_t died = now >= dies_at + node->lag ? 1 : 0;
      const std::uint32_t joined = now >= joins_at + node->lag ? 1 : 0;
      node->share.Update(kNodes - died + joined, now);
    }
    while (!running.empty() && running.top().ends_at <= now) {
      const running_answer& ended = running.top();
      if (how != charging::kEstimateOnly) {
        ended.at->limits.Settle(ended.grant, ended.tokens);
      }
      running.pop();
    }
    // 140 answers a second of 100 tokens on average, estimated at 100 to 300.
    if (random.NextUnit() >= 0.7) {
      continue;
    }
    const std::uint32_t tokens = 50 + random.NextBelow(101);
    const std::uint32_t estimate = tokens * (100 + random.NextBelow(200)) / 100;
    const auto& node =
        nodes[random.NextBelow(static_cast<std::uint32_t>(nodes.size()))];
    // A bucket that charges at the end admits while it holds anything.
    const std::uint32_t reserved = how == charging::kActualOnly ? 1 : estimate;
    const limit_grant grant =
        node->limits.Reserve(customer, node->share, reserved, now);
    if (grant.refused) {
      continue;
    }
    const auto second = static_cast<std::size_t>(
        std::chrono::floor<std::chrono::seconds>(now - kStart).count());
    used[second] += tokens;
    running.push(
        {now + std::chrono::milliseconds(50 * tokens), grant, node, tokens});
  }
  limit_use result;
  for (std::size_t from = 0; from < kSeconds; ++from) {
    result.mean += used[from] / (kSeconds * 1.0 * kTokensPerSecond);
    if (from + kWindow <= kSeconds) {
      double window = 0;
      for (std::size_t i = from; i < from + kWindow; ++i) {
        window += used[i];
      }
      result.fullest =
          std::max(result.fullest, window / (kWindow * 1.0 * kTokensPerSecond));
    }
  }
  return result;
}

// Attempts per request when every attempt fails; up to three repeats each.
double Amplification(bool budgeted, std::uint64_t seed) {
  constexpr std::uint32_t kRequests = 20'000;
  constexpr std::uint32_t kCalm = 2'000;
  split_mix random(seed);
  std::vector<std::unique_ptr<retry_budget>> budgets;
  for (std::uint32_t i = 0; i < kNodes; ++i) {
    budgets.push_back(std::make_unique<retry_budget>());
  }
  std::uint32_t attempts = 0;
  for (std::uint32_t request = 0; request < kCalm + kRequests; ++request) {
    retry_budget& budget = *budgets[random.NextBelow(kNodes)];
    budget.Request(100);
    if (request < kCalm) {
      continue;
    }
    ++attempts;
    for (int repeat = 0; repeat < 3; ++repeat) {
      if (budgeted &&
          budget.Ask({.repeatable = true}, kStart) != retry_verdict::kRetry) {
        break;
      }
      ++attempts;
    }
  }
  return attempts / static_cast<double>(kRequests);
}

}  // namespace

void PrintLimits(std::ostream& out, std::uint32_t seeds) {
  out << "\n== limits: " << kNodes
      << " entry instances under about twice the limit, one dies, one joins\n"
      << std::fixed << std::setprecision(3);
  for (const charging how : {charging::kReserveAndSettle,
                             charging::kEstimateOnly, charging::kActualOnly}) {
    double mean = 0;
    double worst = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      const limit_use use = RunLimits(how, seed);
      mean += use.mean / seeds;
      worst = std::max(worst, use.fullest);
    }
    out << std::left << std::setw(28) << Name(how) << "used/limit " << mean
        << ", fullest 10 s of any seed " << worst << '\n';
  }
  for (const bool budgeted : {true, false}) {
    double worst = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      worst = std::max(worst, Amplification(budgeted, seed));
    }
    out << "attempts per request, all failing, "
        << (budgeted ? "with" : "without") << " budget: worst " << worst
        << '\n';
  }
}

}  // namespace anvilloom
