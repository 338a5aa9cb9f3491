// Defines engine_profile, the time that the engines of a service need to
// produce the first token of an answer.
#ifndef INSTANCES_ENGINE_PROFILE_H_
#define INSTANCES_ENGINE_PROFILE_H_

#include <cstdint>
#include <span>

#include "common/time.h"

namespace anvilloom {

// A prompt that an engine computes only in part, because it caches the
// beginning.
struct prompt_work {
  // Prompt tokens that the engine computes.
  std::uint32_t tokens = 0;
  // Length of the whole prompt, in tokens.
  std::uint32_t prompt_tokens = 0;
  // Other requests that the engine runs at the same time.
  std::uint32_t running = 0;
};

// All times are in microseconds.
struct engine_profile {
  // Time to the first token that does not depend on the prompt: the network
  // and the engine's current step.
  double fixed_us = 0;
  // Prefill time of one token. The initial value, 50 tokens per millisecond, is
  // that of a fast engine: an estimate that is too low admits calls and is
  // corrected by their first tokens, while one that is too high refuses them.
  double prefill_us_per_token = 20.0;
  // Attention between a computed token and an earlier token of its prompt.
  double prefill_us_per_pair = 0;
  // Time by which each other running request delays a token, because both take
  // part in the same steps.
  double running_us_per_token = 0;
  // Average prefill time of a token at an idle engine, attention included, over
  // the observed prompts.
  double mean_us_per_token = prefill_us_per_token;
  // Time by which each token of other prompts that was known to wait at the
  // engine delays a call. Less than the prefill time: part of the work is done
  // when the call arrives, and engines compute prompts together.
  double queued_us_per_token = prefill_us_per_token;
  // Number of observations that the values follow from; 0 for the initial ones.
  std::uint32_t observations = 0;

  // Time that an engine needs to compute the prompt, without the fixed time.
  duration PrefillTime(const prompt_work& work) const;
};

// Converts microseconds to a duration. Times beyond thirty years, which follow
// from token counts that no prompt has, count as thirty years.
duration ToDuration(double us);

// Returns the average of the profiles, weighted by their observations; the
// initial profile if there are no observations.
engine_profile MergeProfiles(std::span<const engine_profile> profiles);

// Whether all values are finite and in a range that an engine can have. Other
// values, received from another instance, must not be used.
bool IsPlausible(const engine_profile& profile);

}  // namespace anvilloom

#endif  // INSTANCES_ENGINE_PROFILE_H_
