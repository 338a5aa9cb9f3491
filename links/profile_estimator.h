// Defines profile_estimator, which learns the engine profile of a service from
// the first tokens that this instance has seen and from the profiles that the
// other instances report.
#ifndef LINKS_PROFILE_ESTIMATOR_H_
#define LINKS_PROFILE_ESTIMATOR_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>

#include "common/time.h"
#include "instances/engine_profile.h"

namespace anvilloom {

// The first token of one call.
struct first_token_observation {
  // The call's own prompt, as far as it was not known to be cached, and the
  // engine's other requests.
  prompt_work work;
  // Tokens of other prompts that were waiting at the engine when it was sent.
  std::uint32_t queued_tokens = 0;
  // Time from sending the call to its first token.
  duration delay{0};
};

// Returns the profile with the least sum of absolute relative errors. A
// minority of observations that are far off, of slow engines, of prompts that
// were not cached as assumed or of work that was not known, has little
// influence.
engine_profile FitProfile(
    std::span<const first_token_observation> observations);

// Observe() and profile() are thread-safe; Update() and own() belong to one
// thread.
class profile_estimator {
 public:
  // Number of the latest observations that the profile follows from. After a
  // change of the engines, half of them bring the profile near the new one.
  static constexpr std::size_t kObservations = 128;
  // With fewer observations of its own, an instance has no profile to report.
  static constexpr std::size_t kMinObservations = 16;

  // Ignores observations of short prompts, whose delay says little about the
  // engine.
  void Observe(const first_token_observation& observation);

  // Computes the profile in force from the own observations and the profiles
  // that other instances report.
  void Update(std::span<const engine_profile> peers);

  // The profile in force. Its values may stem from two successive updates.
  engine_profile profile() const;

  // The profile of the own observations alone, as of the last update.
  const engine_profile& own() const { return own_; }

 private:
  void Publish(const engine_profile& profile);

  // An observation in two words, each with the low bits of its number, by which
  // a reader recognizes two words that do not belong together.
  struct packed_observation {
    std::atomic<std::uint64_t> prompt{0};
    std::atomic<std::uint64_t> delay{0};
  };

  std::array<packed_observation, kObservations> ring_;
  std::atomic<std::uint64_t> count_{0};
  std::uint64_t fitted_count_ = 0;
  engine_profile own_;
  std::atomic<double> fixed_us_{engine_profile{}.fixed_us};
  std::atomic<double> per_token_us_{engine_profile{}.prefill_us_per_token};
  std::atomic<double> per_pair_us_{engine_profile{}.prefill_us_per_pair};
  std::atomic<double> running_us_{engine_profile{}.running_us_per_token};
  std::atomic<double> mean_us_{engine_profile{}.mean_us_per_token};
  std::atomic<double> queued_us_{engine_profile{}.queued_us_per_token};
  std::atomic<std::uint32_t> observations_{0};
};

}  // namespace anvilloom

#endif  // LINKS_PROFILE_ESTIMATOR_H_
