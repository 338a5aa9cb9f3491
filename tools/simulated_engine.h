// Defines simulated_engine, a model engine in virtual time: continuous
// batching, a prefix cache of limited size, and priorities.
#ifndef TOOLS_SIMULATED_ENGINE_H_
#define TOOLS_SIMULATED_ENGINE_H_

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

// Properties of an engine. Routing is given only name, domain, price and slots
// and has to observe the rest.
struct simulated_engine_spec {
  std::string name;
  std::string domain;
  std::string machine_class;
  // Millionths of a currency unit per hour.
  std::int64_t price_per_hour = 0;
  bool reclaimable = false;
  std::uint32_t slots = 24;
  // Token interval of a batch of one, and its increase for each further
  // request, in microseconds.
  double interval_us = 0;
  double interval_step_us = 0;
  double prefill_us_per_token = 0;
  // Maximum number of context tokens that one iteration prefills.
  std::uint32_t prefill_chunk = 256;
  // Capacity of the prefix cache in tokens.
  std::uint32_t cache_tokens = 0;
  bool booking = false;
};

// A request as the engine computes it.
struct simulated_sequence {
  std::uint32_t id = 0;
  priority priority_class = priority::kNormal;
  std::uint64_t prefix = 0;
  std::uint32_t prefix_tokens = 0;
  // Prompt tokens and tokens delivered earlier, which have to be prefilled;
  // zero if the KV cache was imported.
  std::uint32_t context_tokens = 0;
  std::uint32_t tokens_left = 0;
  // Context tokens still to be prefilled; the first token comes after them.
  std::uint32_t prefill_left = 0;
};

// Simulates one engine; the caller advances the time. Not thread-safe.
class simulated_engine {
 public:
  explicit simulated_engine(simulated_engine_spec spec)
      : spec_(std::move(spec)) {}

  const simulated_engine_spec& spec() const { return spec_; }
  void Add(const simulated_sequence& sequence);
  bool idle() const { return running_.empty() && waiting() == 0; }
  load_report Load() const;

  // Begins an iteration over the batch and returns its duration.
  duration BeginStep();
  // Sequences that get a token at the end of the iteration.
  const std::vector<simulated_sequence>& running() const { return running_; }
  // Ends the iteration and removes the finished sequences.
  void EndStep();
  // Removes a running or waiting sequence; std::nullopt if there is none.
  std::optional<simulated_sequence> Remove(std::uint32_t id);
  // Whether the sequence is running or waiting.
  bool Contains(std::uint32_t id) const;
  // All sequences, running or waiting.
  std::vector<simulated_sequence> Sequences() const;

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
  void StartNext(simulated_sequence sequence);
  bool TouchPrefix(std::uint64_t prefix);
  void CachePrefix(std::uint64_t prefix, std::uint32_t tokens);

  simulated_engine_spec spec_;
  std::vector<simulated_sequence> running_;
  std::array<std::deque<simulated_sequence>, 3> waiting_;
  // Ordered from the most to the least recently used.
  std::list<std::pair<std::uint64_t, std::uint32_t>> cache_;
  std::unordered_map<std::uint64_t, decltype(cache_)::iterator> cached_;
  std::uint32_t cached_tokens_ = 0;
  std::vector<prefill> prefills_;
  std::vector<std::uint64_t> stored_;
  std::vector<std::uint64_t> evicted_;
};

}  // namespace anvilloom

#endif  // TOOLS_SIMULATED_ENGINE_H_
