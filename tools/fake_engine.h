// Defines fake_engine, a model engine in virtual time: continuous batching, a
// prefix cache of limited size, and priorities.
#ifndef TOOLS_FAKE_ENGINE_H_
#define TOOLS_FAKE_ENGINE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "contracts/contract.h"
#include "links/link.h"

namespace anvilloom {

// What an engine can do. Routing knows only name, domain, price and slots; the
// rest it has to observe.
struct fake_engine_spec {
  std::string name;
  std::string domain;
  std::string machine_class;
  // Millionths of a currency unit per hour.
  std::int64_t price_per_hour = 0;
  bool reclaimable = false;
  std::uint32_t slots = 24;
  // Token interval in microseconds of a batch of one, and for each further
  // request.
  double interval_us = 0;
  double interval_step_us = 0;
  double prefill_us_per_token = 0;
  // Prompt tokens that one iteration computes beside the batch's next tokens.
  std::uint32_t prefill_chunk = 256;
  // Prefix tokens that the cache holds.
  std::uint32_t cache_tokens = 0;
  bool booking = false;
};

// A sequence that an engine computes.
struct fake_sequence {
  std::uint32_t id = 0;
  priority rank = priority::kNormal;
  std::uint64_t prefix = 0;
  std::uint32_t prefix_tokens = 0;
  // Tokens to prefill, prompt and delivered ones; zero with an imported cache.
  std::uint32_t context_tokens = 0;
  std::uint32_t tokens_left = 0;
  // Context tokens that are still to be prefilled; no token before that.
  std::uint32_t prefill_left = 0;
};

// Follows one engine; the caller keeps the time.
class fake_engine {
 public:
  explicit fake_engine(fake_engine_spec spec) : spec_(std::move(spec)) {}

  const fake_engine_spec& spec() const { return spec_; }
  void Add(const fake_sequence& sequence);
  bool idle() const { return running_.empty() && waiting() == 0; }
  load_report Load() const;

  // Begins an iteration over the batch; returns its length.
  duration BeginStep();
  // Sequences that get a token at the end of the iteration.
  const std::vector<fake_sequence>& running() const { return running_; }
  // Ends the iteration: removes the sequences that are done.
  void EndStep();
  // Stops a sequence; nothing if it is not here.
  std::optional<fake_sequence> Remove(std::uint32_t id);
  // Whether a sequence runs or waits here.
  bool Holds(std::uint32_t id) const;
  // Every sequence, running or waiting.
  std::vector<fake_sequence> All() const;

  // Prompt and answer tokens prefilled in the latest BeginStep(), by sequence.
  struct prefill {
    std::uint32_t id;
    std::uint32_t tokens;
  };
  const std::vector<prefill>& prefills() const { return prefills_; }
  // Prefixes stored and evicted in the latest BeginStep().
  const std::vector<std::uint64_t>& stored() const { return stored_; }
  const std::vector<std::uint64_t>& evicted() const { return evicted_; }

 private:
  std::size_t waiting() const;
  void StartNext(fake_sequence sequence);
  bool Cached(std::uint64_t prefix);
  void Store(std::uint64_t prefix, std::uint32_t tokens);

  fake_engine_spec spec_;
  std::vector<fake_sequence> running_;
  std::array<std::deque<fake_sequence>, 3> waiting_;
  // Least recently used last.
  std::list<std::pair<std::uint64_t, std::uint32_t>> cache_;
  std::unordered_map<std::uint64_t, decltype(cache_)::iterator> cached_;
  std::uint32_t cached_tokens_ = 0;
  std::vector<prefill> prefills_;
  std::vector<std::uint64_t> stored_;
  std::vector<std::uint64_t> evicted_;
};

}  // namespace anvilloom

#endif  // TOOLS_FAKE_ENGINE_H_
