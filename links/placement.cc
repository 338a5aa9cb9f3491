#include "links/placement.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "common/random.h"

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
        question_(question) {}

  placement Run() {
    const bool any_sound = std::ranges::any_of(pool_.members, [&](auto& each) {
      return Usable(*each, question_) && !each->Avoided(question_.now);
    });
    for (const auto& each : pool_.members) {
      if (Usable(*each, question_) &&
          !(any_sound && each->Avoided(question_.now))) {
        usable_.push_back(&each);
      }
    }
    Collect();
    const auto richest = Richest();
    placement best;
    double lowest = std::numeric_limits<double>::max();
    for (const candidate& each : candidates_) {
      const placement judged = Judge(each, richest);
      const double cost = Cost(judged);
      if (cost < lowest) {
        lowest = cost;
        best = judged;
      }
    }
    return best;
  }

 private:
  using member = std::shared_ptr<pooled_upstream>;

  struct candidate {
    const member* upstream = nullptr;
    // Tokens of the prompt that it is thought to keep.
    std::uint32_t kept_tokens = 0;
  };

  // Keeps the larger number if the upstream is a candidate already.
  void Add(const member& upstream, std::uint32_t kept_tokens) {
    const auto found =
        std::ranges::find(candidates_, &upstream, &candidate::upstream);
    if (found == candidates_.end()) {
      candidates_.push_back({&upstream, kept_tokens});
    } else {
      found->kept_tokens = std::max(found->kept_tokens, kept_tokens);
    }
  }

  void Collect() {
    for (const prompt_prefix& prefix : question_.prompt->prefixes) {
      AddKnown(prefix);
    }
    if (const prompt_prefix* home = HomePrefix(*question_.prompt)) {
      AddHomes(*home);
    }
    AddDrawn();
  }

  // Draws among the upstreams whose load is well known; among all if there are
  // none.
  void AddDrawn() {
    std::vector<const member*> known;
    std::ranges::copy_if(usable_, std::back_inserter(known),
                         [](auto* each) { return (*each)->well_known(); });
    const auto& from = known.empty() ? usable_ : known;
    split_mix draws(question_.draw);
    for (int i = 0; i < kDrawn && !from.empty(); ++i) {
      const auto index =
          draws.NextBelow(static_cast<std::uint32_t>(from.size()));
      Add(*from[index], 0);
    }
  }

  // Upstreams that this instance has sent the prefix to.
  void AddKnown(const prompt_prefix& prefix) {
    prefix_locations::found_locations found;
    for (const prefix_location& location :
         locations_.Find(prefix.hash, found)) {
      if (location.seen_at + kLocationLife <= question_.now) {
        continue;
      }
      for (const member* each : usable_) {
        if (MatchesUpstream(location, (*each)->hash())) {
          Add(*each, prefix.tokens);
        }
      }
    }
  }

  // The first homes by rendezvous hashing. Other instances send the prefix to
  // the same ones, so they are presumed to keep it.
  void AddHomes(const prompt_prefix& prefix) {
    std::array<std::pair<std::uint64_t, const member*>, kHomes> homes{};
    for (const member* each : usable_) {
      std::pair<std::uint64_t, const member*> scored{
          CombineHash(prefix.hash, (*each)->hash()), each};
      for (auto& home : homes) {
        if (home.second == nullptr || scored.first > home.first) {
          std::swap(home, scored);
        }
        if (scored.second == nullptr) {
          break;
        }
      }
    }
    for (const auto& [score, upstream] : homes) {
      if (upstream != nullptr) {
        // Only the first home is sure to have got the prefix.
        Add(*upstream, upstream == homes.front().second ? prefix.tokens : 0);
      }
    }
  }

  candidate Richest() const {
    candidate richest;
    if (!question_.can_fetch) {
      return richest;
    }
    for (const candidate& each : candidates_) {
      if (each.kept_tokens > richest.kept_tokens) {
        richest = each;
      }
    }
    return richest;
  }

  placement Judge(const candidate& each, const candidate& richest) const {
    placement judged;
    judged.target = *each.upstream;
    const std::uint32_t whole = question_.prompt->prompt_tokens;
    judged.unread_tokens = whole - std::min(whole, each.kept_tokens);
    if (richest.upstream != nullptr && richest.upstream != each.upstream &&
        richest.kept_tokens >= each.kept_tokens + kLeastFetchedTokens) {
      judged.fetch_from = *richest.upstream;
      judged.fetched_tokens = std::min(richest.kept_tokens - each.kept_tokens,
                                       judged.unread_tokens);
      judged.unread_tokens -= judged.fetched_tokens;
    }
    judged.read_time = ReadTime(costs_, judged.unread_tokens, whole);
    judged.expected_wait = duration(static_cast<std::int64_t>(
        judged.target->total_unread_tokens() * costs_.read_us_per_token));
    return judged;
  }

  double Cost(const placement& judged) const {
    const pooled_upstream& each = *judged.target;
    double cost = static_cast<double>(judged.expected_wait.count());
    cost += static_cast<double>(judged.read_time.count()) * costs_.read_weight;
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

  // Drawn at random. Two choices bring most of the gain of knowing all; more of
  // them draw calls away from the upstreams that keep their prompts.
  static constexpr int kDrawn = 2;
  static constexpr std::size_t kHomes = 2;
  // Larger than any sum of the other costs in normal operation.
  static constexpr double kFullUs = 1e6;

  const upstream_pool& pool_;
  const prefix_locations& locations_;
  const placement_costs& costs_;
  const placement_question& question_;
  std::vector<const member*> usable_;
  std::vector<candidate> candidates_;
};

}  // namespace

duration ReadTime(const placement_costs& costs,
                  std::uint32_t unread,
                  std::uint32_t whole) {
  // Each token that is read attends to all before it.
  const double before = whole - unread / 2.0;
  return duration(static_cast<std::int64_t>(
      unread * (costs.read_us_per_token + before * costs.read_us_per_pair)));
}

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
