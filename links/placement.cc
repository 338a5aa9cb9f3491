#include "links/placement.h"

#include <algorithm>
#include <limits>

#include "common/hash.h"

namespace anvilloom {

namespace {

// Fetching fewer tokens than this takes longer to set up than to read.
constexpr std::uint32_t kLeastFetchedTokens = 512;
// A prompt was kept for sure only for some time: engines drop the least
// recently used parts.
constexpr duration kLocationLife = std::chrono::seconds(30);
// Prefixes below this are shared by too many calls to bind them to one home.
constexpr std::uint32_t kLeastHomeTokens = 256;

bool Usable(const pooled_upstream& each, const placement_question& question) {
  return !each.leaving() &&
         std::ranges::find(question.tried, each.hash()) == question.tried.end();
}

// The prefix that decides the home: the longest that other calls share. The
// last part of a prompt belongs to the call or its session alone.
const prompt_prefix* HomePrefix(const prompt_shape& prompt) {
  if (prompt.prefixes.size() < 2) {
    return nullptr;
  }
  const prompt_prefix& shared = prompt.prefixes[prompt.prefixes.size() - 2];
  return shared.tokens < kLeastHomeTokens ? nullptr : &shared;
}

class placement_search {
 public:
  placement_search(const upstream_pool& pool,
                   const prefix_locations& locations,
                   const placement_costs& costs,
                   const placement_question& question)
      : pool_(pool),
        locations_(locations),
        costs_(costs),
        question_(question),
        home_(FindHome()) {}

  placement Run() {
    placement best;
    const bool any_sound = std::ranges::any_of(pool_.members, [&](auto& each) {
      return Usable(*each, question_) && !each->Avoided(question_.now);
    });
    const auto richest = Richest();
    double lowest = std::numeric_limits<double>::max();
    for (const auto& each : pool_.members) {
      if (!Usable(*each, question_) ||
          (any_sound && each->Avoided(question_.now))) {
        continue;
      }
      const placement candidate = Judge(each, richest);
      const double cost = Cost(candidate);
      if (cost < lowest) {
        lowest = cost;
        best = candidate;
      }
    }
    return best;
  }

 private:
  struct richest_member {
    std::shared_ptr<pooled_upstream> member;
    std::uint32_t kept_tokens = 0;
  };

  const pooled_upstream* FindHome() const {
    const prompt_prefix* prefix = HomePrefix(*question_.prompt);
    if (prefix == nullptr) {
      return nullptr;
    }
    const pooled_upstream* home = nullptr;
    std::uint64_t highest = 0;
    for (const auto& each : pool_.members) {
      const std::uint64_t score = CombineHash(prefix->hash, each->hash());
      if (!each->leaving() && (home == nullptr || score > highest)) {
        home = each.get();
        highest = score;
      }
    }
    return home;
  }

  // Tokens of the prompt that the upstream is thought to keep.
  std::uint32_t KeptTokens(const pooled_upstream& each) const {
    const auto& prefixes = question_.prompt->prefixes;
    for (std::size_t i = prefixes.size(); i > 0; --i) {
      prefix_locations::found_locations found;
      for (const prefix_location& location :
           locations_.Find(prefixes[i - 1].hash, found)) {
        if (MatchesUpstream(location, each.hash()) &&
            location.seen_at + kLocationLife > question_.now) {
          return prefixes[i - 1].tokens;
        }
      }
    }
    return &each == home_ ? HomePrefix(*question_.prompt)->tokens : 0;
  }

  richest_member Richest() const {
    richest_member richest;
    if (!question_.can_fetch) {
      return richest;
    }
    for (const auto& each : pool_.members) {
      if (each->leaving() || each->Avoided(question_.now)) {
        continue;
      }
      const std::uint32_t kept = KeptTokens(*each);
      if (kept > richest.kept_tokens) {
        richest = {each, kept};
      }
    }
    return richest;
  }

  placement Judge(const std::shared_ptr<pooled_upstream>& each,
                  const richest_member& richest) const {
    placement judged;
    judged.target = each;
    const std::uint32_t kept = KeptTokens(*each);
    const std::uint32_t whole = question_.prompt->prompt_tokens;
    judged.unread_tokens = whole > kept ? whole - kept : 0;
    if (richest.member && richest.member != each &&
        richest.kept_tokens >= kept + kLeastFetchedTokens) {
      judged.fetch_from = richest.member;
      judged.fetched_tokens =
          std::min(richest.kept_tokens - kept, judged.unread_tokens);
      judged.unread_tokens -= judged.fetched_tokens;
    }
    judged.expected_wait = duration(static_cast<std::int64_t>(
        each->total_unread_tokens() * costs_.read_us_per_token));
    return judged;
  }

  double Cost(const placement& judged) const {
    const pooled_upstream& each = *judged.target;
    double cost = static_cast<double>(judged.expected_wait.count());
    cost += judged.unread_tokens * costs_.read_us_per_token;
    cost += judged.fetched_tokens * costs_.fetch_us_per_token;
    cost += each.total_running() * costs_.running_us;
    cost += each.failed_permille() * costs_.failure_us / 1000;
    // Above its slots, a call waits for another to end.
    if (each.total_running() >= each.announced().slots) {
      cost += kFullUs;
    }
    if (each.announced().domain != question_.domain) {
      cost += costs_.other_domain_us;
    }
    return cost;
  }

  // Larger than any sum of the other costs in normal operation.
  static constexpr double kFullUs = 1e6;

  const upstream_pool& pool_;
  const prefix_locations& locations_;
  const placement_costs& costs_;
  const placement_question& question_;
  const pooled_upstream* home_;
};

}  // namespace

placement PlaceCall(const upstream_pool& pool,
                    const prefix_locations& locations,
                    const placement_costs& costs,
                    const placement_question& question) {
  return placement_search(pool, locations, costs, question).Run();
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
