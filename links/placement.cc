#include "links/placement.h"

#include <algorithm>
#include <iterator>
#include <limits>
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
    // Instances tell each other at once only what they send to models.
    if (pool_.model) {
      std::ranges::copy_if(usable_, std::back_inserter(well_known_),
                           [](auto* each) { return (*each)->well_known(); });
    }
    if (well_known_.empty()) {
      well_known_ = usable_;
    }
    knows_all_ = well_known_.size() == usable_.size();
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

  void AddDrawn() {
    split_mix draws(question_.draw);
    for (int i = 0; i < kDrawn && !well_known_.empty(); ++i) {
      const auto index =
          draws.NextBelow(static_cast<std::uint32_t>(well_known_.size()));
      Add(*well_known_[index], 0);
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
        if (!MatchesUpstream(location, (*each)->hash())) {
          continue;
        }
        if (KnowsLoad(**each)) {
          Add(*each, prefix.tokens);
        } else {
          NoteSource(*each, prefix.tokens);
        }
      }
    }
  }

  bool KnowsLoad(const pooled_upstream& each) const {
    return knows_all_ || each.well_known();
  }

  // An upstream that gets no call from here, but keeps a prefix that others can
  // fetch.
  void NoteSource(const member& upstream, std::uint32_t kept_tokens) {
    if (kept_tokens > source_.kept_tokens) {
      source_ = {&upstream, kept_tokens};
    }
  }

  // Whether this instance has sent the prefix anywhere.
  bool HasSent(const prompt_prefix& prefix) const {
    return source_.kept_tokens >= prefix.tokens ||
           std::ranges::any_of(candidates_, [&](const candidate& each) {
             return each.kept_tokens >= prefix.tokens;
           });
  }

  // All instances give a prefix the same home, which is presumed to keep it.
  // If they all sent there for good, old reports could not tell the load of all
  // their calls. So an instance that does not know the home's load well sends
  // only its first call there, and the others to the first of the upstreams
  // that it knows, which fetch the prefix from the home.
  void AddHomes(const prompt_prefix& prefix) {
    const member* home = First(usable_, prefix, nullptr);
    if (home == nullptr) {
      return;
    }
    if (KnowsLoad(**home) || !HasSent(prefix)) {
      Add(*home, prefix.tokens);
    } else {
      NoteSource(*home, prefix.tokens);
    }
    const member* first = First(well_known_, prefix, nullptr);
    Add(*first, 0);
    if (const member* second = First(well_known_, prefix, first)) {
      Add(*second, 0);
    }
  }

  // The first of some upstreams by rendezvous hashing, but for `besides`.
  static const member* First(const std::vector<const member*>& among,
                             const prompt_prefix& prefix,
                             const member* besides) {
    const member* first = nullptr;
    std::uint64_t highest = 0;
    for (const member* each : among) {
      const std::uint64_t score = CombineHash(prefix.hash, (*each)->hash());
      if (each != besides && (first == nullptr || score > highest)) {
        first = each;
        highest = score;
      }
    }
    return first;
  }

  // Where the most tokens of the prompt are kept, as far as is known.
  candidate Richest() const {
    if (!question_.can_fetch) {
      return {};
    }
    candidate richest = source_;
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
  // Larger than any sum of the other costs in normal operation.
  static constexpr double kFullUs = 1e6;

  const upstream_pool& pool_;
  const prefix_locations& locations_;
  const placement_costs& costs_;
  const placement_question& question_;
  std::vector<const member*> usable_;
  // Those of them whose load is well known; all of them if there are none.
  std::vector<const member*> well_known_;
  bool knows_all_ = false;
  candidate source_;
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
