// Defines model_engine, a stand-in for a model engine. Its tokens are a pure
// function of the prompt and the position, so that a test can tell whether a
// resumed answer is the one that an undisturbed run would have given.
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
#include "standins/fault_switch.h"
#include "standins/kv_store.h"
#include "standins/load_history.h"
#include "standins/order_book.h"
#include "standins/prefix_cache.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// How an engine behaves.
struct engine_behaviour {
  std::string version = "v1";
  std::chrono::microseconds first_token_delay{20'000};
  std::chrono::microseconds token_interval{20'000};
  // Added to the time to the first token for each token that is not cached.
  std::chrono::microseconds prefill_per_token{0};
  // Added to the token interval for each other running request, in thousandths
  // of the interval: the effect of a larger batch.
  std::uint32_t batch_slowdown_permille = 0;
  // Requests that run at once.
  std::uint32_t slots = 256;
  // Memory of the prefix cache, in tokens.
  std::size_t cache_tokens = 65'536;
  // Time to import a KV cache, for each token that it covers.
  std::chrono::microseconds import_per_token{0};
  std::chrono::microseconds load_lag{0};
  bool checks_fencing = false;
  // The loaded model, which GET /load reports; without a name it reports none.
  std::string model;
  // Time to load another model after an order.
  std::chrono::microseconds load_time{0};
};

// The token at `index` of the answer to `messages` (JSON text).
std::string EngineToken(std::string_view messages, std::uint32_t index);

// A handler for an http_server with one thread. Besides the engine protocol it
// answers POST /faults (standins/fault_switch.h), POST /version (a silent
// patch: {"version":"v2","token_interval_us":N}), POST /leave (refuses new
// work from then on) and GET /seen (requests by attempt id).
class model_engine {
 public:
  explicit model_engine(engine_behaviour behaviour);

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  struct generation;

  awaitable<void> Complete(http_exchange& exchange);
  awaitable<void> Generate(http_exchange& exchange,
                           generation& work,
                           const std::optional<fault_rule>& fault);
  // Sends token `index`, as the fault has it. False to stop.
  awaitable<bool> SendToken(http_exchange& exchange,
                            const generation& work,
                            std::uint32_t index,
                            const std::optional<fault_rule>& fault);
  awaitable<void> SendEnd(http_exchange& exchange, const generation& work);
  awaitable<void> ReportLoad(http_exchange& exchange);
  awaitable<void> Export(http_exchange& exchange);
  awaitable<void> Import(http_exchange& exchange);
  awaitable<void> Cancel(http_exchange& exchange);
  awaitable<void> Order(http_exchange& exchange);
  awaitable<void> Patch(http_exchange& exchange);
  // Tokens of the prompt and resumed text that are not cached.
  std::uint32_t Prefill(generation& work);
  std::chrono::microseconds TokenInterval() const;
  void RecordLoad();
  // Loads the model that an accepted order names.
  void LoadModel(std::string_view model);

  engine_behaviour behaviour_;
  fault_switch faults_;
  engine_slots slots_;
  prefix_cache cache_;
  kv_store imports_;
  load_history load_;
  order_book orders_;
  std::chrono::steady_clock::time_point loaded_at_{};
  bool leaving_ = false;
  std::uint64_t requests_ = 0;
  // Requests that began under the id of one that was running.
  std::uint64_t duplicate_ids_ = 0;
  // Running generations by request id.
  std::map<std::string, generation*, std::less<>> running_;
};

}  // namespace anvilloom

#endif  // STANDINS_MODEL_ENGINE_H_
