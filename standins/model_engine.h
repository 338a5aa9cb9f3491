// Defines model_engine, a stand-in for a model engine. Its tokens are a pure
// function of the prompt and the position, so that a test can tell whether a
// resumed answer is the one that an undisturbed run would have given.
#ifndef STANDINS_MODEL_ENGINE_H_
#define STANDINS_MODEL_ENGINE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/http_exchange.h"

namespace anvilloom {

// How an engine behaves.
struct engine_behaviour {
  std::string version = "v1";
  std::chrono::microseconds first_token_delay{20'000};
  std::chrono::microseconds token_interval{20'000};
};

// The token at `index` of the answer to `messages` (JSON text).
std::string EngineToken(std::string_view messages, std::uint32_t index);

// A handler for http_server. Thread-safe.
class model_engine {
 public:
  explicit model_engine(engine_behaviour behaviour);

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  struct generation;

  awaitable<void> Complete(http_exchange& exchange);
  awaitable<void> Generate(http_exchange& exchange, const generation& work);
  awaitable<void> ReportLoad(http_exchange& exchange);

  engine_behaviour behaviour_;
  std::atomic<std::uint32_t> running_{0};
};

}  // namespace anvilloom

#endif  // STANDINS_MODEL_ENGINE_H_
