// Defines model_engine, a stand-in for a model engine. Each token is a pure
// function of the prompt and the position, so that tests can compare a resumed
// response with that of an uninterrupted run.
#ifndef STANDINS_MODEL_ENGINE_H_
#define STANDINS_MODEL_ENGINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "standins/engine_slots.h"
#include "standins/fault_injector.h"
#include "standins/kv_store.h"
#include "standins/load_history.h"
#include "standins/order_log.h"
#include "standins/prefix_cache.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Timing, capacity and model of an engine.
struct engine_options {
  std::string version = "v1";
  std::chrono::microseconds first_token_delay{20'000};
  std::chrono::microseconds token_interval{20'000};
  // Added to the time to first token for each token that is not cached.
  std::chrono::microseconds prefill_per_token{0};
  // Added to the token interval for each other running request, in thousandths
  // of the interval. Models the slowdown by larger batches.
  std::uint32_t batch_slowdown_permille = 0;
  // Maximum number of concurrent requests.
  std::uint32_t slots = 256;
  // Capacity of the prefix cache, in tokens.
  std::size_t cache_tokens = 65'536;
  // Time to import one token of a KV cache.
  std::chrono::microseconds import_per_token{0};
  // Age of the load that GET /load reports.
  std::chrono::microseconds load_lag{0};
  // Refuses orders whose fencing number is lower than one accepted before.
  bool checks_fencing = false;
  // The loaded model, as reported by GET /load; omitted if empty.
  std::string model;
  // Time to load another model when an order requests it.
  std::chrono::microseconds load_time{0};
};

// Returns the token at `index` of the response to `messages` (JSON text).
std::string EngineToken(std::string_view messages, std::uint32_t index);

// A handler for an http_server with one thread. Besides the engine protocol it
// serves POST /faults (standins/fault_injector.h), POST /version (changes the
// model version or the token interval without an announcement:
// {"version":"v2","token_interval_us":N}), POST /leave (refuses all further
// requests) and GET /seen (counts of requests and of duplicate request ids).
class model_engine {
 public:
  explicit model_engine(engine_options behaviour);

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  struct generation;

  awaitable<void> Complete(http_exchange& exchange);
  awaitable<void> Generate(http_exchange& exchange,
                           generation& work,
                           const std::optional<fault_rule>& fault);
  // Sends token `index`, modified by the fault. Returns false if generation
  // must stop.
  awaitable<bool> SendToken(http_exchange& exchange,
                            const generation& work,
                            std::uint32_t index,
                            const std::optional<fault_rule>& fault);
  awaitable<void> SendFinishChunk(http_exchange& exchange,
                                  const generation& work);
  awaitable<void> ReportLoad(http_exchange& exchange);
  awaitable<void> Export(http_exchange& exchange);
  awaitable<void> Import(http_exchange& exchange);
  awaitable<void> Cancel(http_exchange& exchange);
  awaitable<void> HandleOrder(http_exchange& exchange);
  awaitable<void> UpdateVersion(http_exchange& exchange);
  // Updates the cache and returns the number of tokens of the prompt and the
  // resumed text that were not cached.
  std::uint32_t Prefill(generation& work);
  std::chrono::microseconds TokenInterval() const;
  void RecordLoad();
  // Starts to load a model and clears the caches.
  void LoadModel(std::string_view model);

  engine_options behaviour_;
  fault_injector faults_;
  engine_slots slots_;
  prefix_cache cache_;
  kv_store imports_;
  load_history load_;
  order_log orders_;
  std::chrono::steady_clock::time_point loaded_at_{};
  bool leaving_ = false;
  std::uint64_t requests_ = 0;
  // Number of requests that arrived with the id of a running request.
  std::uint64_t duplicate_ids_ = 0;
  // Running generations, keyed by request id.
  std::map<std::string, generation*, std::less<>> running_;
};

}  // namespace anvilloom

#endif  // STANDINS_MODEL_ENGINE_H_
