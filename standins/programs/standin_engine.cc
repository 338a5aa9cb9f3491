// Runs a model_engine as a stand-in for a model engine.

#include <chrono>
#include <cstdint>

#include "standins/model_engine.h"
#include "standins/serve_main.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  anvilloom::engine_options behaviour;
  std::int64_t first_token_us = behaviour.first_token_delay.count();
  std::int64_t token_interval_us = behaviour.token_interval.count();
  std::int64_t prefill_us = behaviour.prefill_per_token.count();
  std::int64_t import_us = behaviour.import_per_token.count();
  std::int64_t load_lag_us = behaviour.load_lag.count();
  std::int64_t load_us = behaviour.load_time.count();
  options::options_description all("standin_engine");
  all.add_options()("version", options::value(&behaviour.version),
                    "Model version.")("first-token-us",
                                      options::value(&first_token_us),
                                      "Time to first token, in microseconds.")(
      "token-interval-us", options::value(&token_interval_us),
      "Time between tokens, in microseconds.")(
      "prefill-us", options::value(&prefill_us),
      "Time to prefill one token, in microseconds.")(
      "import-us", options::value(&import_us),
      "Time to import the KV cache of one token, in microseconds.")(
      "load-lag-us", options::value(&load_lag_us),
      "Age of the reported load, in microseconds.")(
      "batch-slowdown-permille",
      options::value(&behaviour.batch_slowdown_permille),
      "Increase of the token interval for each other running request.")(
      "slots", options::value(&behaviour.slots),
      "Maximum number of concurrent requests.")(
      "cache-tokens", options::value(&behaviour.cache_tokens),
      "Capacity of the prefix cache, in tokens.")(
      "checks-fencing", options::bool_switch(&behaviour.checks_fencing),
      "Refuse orders with an outdated fencing number.")(
      "model", options::value(&behaviour.model),
      "Loaded model, as reported by the engine.")(
      "load-us", options::value(&load_us),
      "Time to load another model, in microseconds.");
  return anvilloom::RunStandin(argc, argv, all, [&] {
    behaviour.first_token_delay = std::chrono::microseconds(first_token_us);
    behaviour.token_interval = std::chrono::microseconds(token_interval_us);
    behaviour.prefill_per_token = std::chrono::microseconds(prefill_us);
    behaviour.import_per_token = std::chrono::microseconds(import_us);
    behaviour.load_time = std::chrono::microseconds(load_us);
    behaviour.load_lag = std::chrono::microseconds(load_lag_us);
    return anvilloom::model_engine(behaviour);
  });
}
