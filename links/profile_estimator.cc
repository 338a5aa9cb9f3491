#include "links/profile_estimator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <optional>
#include <vector>

namespace anvilloom {

namespace {

// Shorter prompts take hardly longer than the fixed time.
constexpr std::uint32_t kMinTokens = 128;
// With less waiting work relative to the own, its effect is not known.
constexpr double kMinQueuedShare = 0.05;
// Bounds of the delay by a waiting token, relative to the prefill time of one.
constexpr double kMinQueuedFactor = 0.3;
constexpr double kMaxQueuedFactor = 2;

constexpr int kIterations = 12;
// Relative errors below this count alike.
constexpr double kErrorFloor = 0.02;
constexpr std::size_t kFeatures = 5;
enum feature : std::size_t {
  kPerToken,
  kPerPair,
  kPerRunning,
  kPerQueued,
  kFixed
};
using coefficients = std::array<double, kFeatures>;

// Pulls factors towards zero. What the observations leave open, such as for
// prompts of equal length, is taken to be time per token.
constexpr coefficients kRegularization = {1e-5, 5e-4, 5e-4, 5e-4, 5e-4};

struct sample {
  coefficients features{};
  double delay = 0;
};

sample MakeSample(const first_token_observation& observation) {
  const prompt_work& work = observation.work;
  const auto tokens = static_cast<double>(work.tokens);
  const double before = work.prompt_tokens - tokens / 2;
  return {{tokens, tokens * before, tokens * work.running,
           static_cast<double>(observation.queued_tokens), 1.0},
          static_cast<double>(observation.delay.count())};
}

double Predict(const coefficients& factors, const sample& each) {
  double sum = 0;
  for (std::size_t i = 0; i < kFeatures; ++i) {
    sum += factors[i] * each.features[i];
  }
  return sum;
}

// Weighted normal equations, in features scaled to a mean of 1.
struct normal_equations {
  std::array<coefficients, kFeatures> matrix{};
  coefficients vector{};
};

// Solves the equations of the features in `used` by Gaussian elimination; the
// other factors are zero.
coefficients Solve(normal_equations equations,
                   const std::array<bool, kFeatures>& used) {
  auto& [matrix, vector] = equations;
  for (std::size_t i = 0; i < kFeatures; ++i) {
    if (!used[i]) {
      matrix[i].fill(0);
      for (coefficients& row : matrix) {
        row[i] = 0;
      }
      matrix[i][i] = 1;
      vector[i] = 0;
    }
  }
  // The matrix is positive definite, so that no pivoting is needed.
  for (std::size_t i = 0; i < kFeatures; ++i) {
    for (std::size_t row = i + 1; row < kFeatures; ++row) {
      const double factor = matrix[row][i] / matrix[i][i];
      for (std::size_t column = i; column < kFeatures; ++column) {
        matrix[row][column] -= factor * matrix[i][column];
      }
      vector[row] -= factor * vector[i];
    }
  }
  coefficients solved{};
  for (std::size_t i = kFeatures; i-- > 0;) {
    double sum = vector[i];
    for (std::size_t column = i + 1; column < kFeatures; ++column) {
      sum -= matrix[i][column] * solved[column];
    }
    solved[i] = sum / matrix[i][i];
  }
  return solved;
}

// Returns the best solution without a negative factor. The time per token is
// always part of it.
coefficients SolveNonNegative(const normal_equations& equations) {
  coefficients best{};
  double least_error = std::numeric_limits<double>::max();
  for (unsigned optional = 0; optional < 1U << (kFeatures - 1); ++optional) {
    std::array<bool, kFeatures> used{true};
    for (std::size_t i = 1; i < kFeatures; ++i) {
      used[i] = (optional >> (i - 1) & 1) != 0;
    }
    const coefficients solved = Solve(equations, used);
    if (std::ranges::any_of(solved, [](double each) { return each < 0; })) {
      continue;
    }
    // The squared error up to a constant.
    double error = 0;
    for (std::size_t i = 0; i < kFeatures; ++i) {
      error -= 2 * solved[i] * equations.vector[i];
      for (std::size_t j = 0; j < kFeatures; ++j) {
        error += solved[i] * equations.matrix[i][j] * solved[j];
      }
    }
    if (error < least_error) {
      least_error = error;
      best = solved;
    }
  }
  return best;
}

normal_equations MakeEquations(std::span<const sample> samples,
                               const coefficients& factors,
                               const coefficients& scale) {
  normal_equations equations;
  double total_weight = 0;
  for (const sample& each : samples) {
    const double predicted = std::max(Predict(factors, each), 1.0);
    const double error = std::abs(each.delay - predicted) / predicted;
    const double weight =
        1 / (predicted * predicted * std::max(error, kErrorFloor));
    total_weight += weight;
    for (std::size_t i = 0; i < kFeatures; ++i) {
      const double scaled = weight * each.features[i] / scale[i];
      equations.vector[i] += scaled * each.delay;
      for (std::size_t j = 0; j < kFeatures; ++j) {
        equations.matrix[i][j] += scaled * each.features[j] / scale[j];
      }
    }
  }
  for (std::size_t i = 0; i < kFeatures; ++i) {
    equations.matrix[i][i] += total_weight * kRegularization[i];
  }
  return equations;
}

double MedianUsPerToken(std::span<const sample> samples) {
  std::vector<double> rates;
  rates.reserve(samples.size());
  for (const sample& each : samples) {
    rates.push_back(each.delay / each.features[kPerToken]);
  }
  const auto middle =
      rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::ranges::nth_element(rates, middle);
  return *middle;
}

// Returns the delay by a waiting token. `fitted` is used if enough work waited
// relative to the observed prompts, and `prefill`, the time to compute a token,
// otherwise.
double QueuedTime(double fitted, double queued_share, double prefill) {
  return queued_share < kMinQueuedShare
             ? prefill
             : std::clamp(fitted, prefill * kMinQueuedFactor,
                          prefill * kMaxQueuedFactor);
}

// Layout of the two words of an observation, from the lowest bits on.
constexpr unsigned kNumberBits = 8;
constexpr unsigned kTokenBits = 28;
constexpr unsigned kRunningBits = 10;
constexpr unsigned kQueuedBits = 20;
constexpr unsigned kDelayBits = 26;
constexpr std::uint64_t kQueuedUnit = 4;
constexpr duration kDelayUnit = std::chrono::microseconds(8);

constexpr std::uint64_t MaxOf(unsigned bits) {
  return (std::uint64_t{1} << bits) - 1;
}

// Adds `value` below the bits that are packed so far.
void AddBits(std::uint64_t& packed, std::uint64_t value, unsigned bits) {
  packed = packed << bits | std::min(value, MaxOf(bits));
}

// Removes the lowest bits and returns them.
std::uint64_t TakeBits(std::uint64_t& packed, unsigned bits) {
  const std::uint64_t taken = packed & MaxOf(bits);
  packed >>= bits;
  return taken;
}

std::uint64_t PackPrompt(const prompt_work& work, std::uint64_t number) {
  std::uint64_t packed = 0;
  AddBits(packed, work.prompt_tokens, kTokenBits);
  AddBits(packed, work.tokens, kTokenBits);
  AddBits(packed, number & MaxOf(kNumberBits), kNumberBits);
  return packed;
}

std::uint64_t PackDelay(const first_token_observation& observation,
                        std::uint64_t number) {
  std::uint64_t packed = 0;
  AddBits(packed, static_cast<std::uint64_t>(observation.delay / kDelayUnit),
          kDelayBits);
  AddBits(packed, observation.queued_tokens / kQueuedUnit, kQueuedBits);
  AddBits(packed, observation.work.running, kRunningBits);
  AddBits(packed, number & MaxOf(kNumberBits), kNumberBits);
  return packed;
}

// Returns nothing if the words belong to different observations.
std::optional<first_token_observation> Unpack(std::uint64_t prompt,
                                              std::uint64_t delay) {
  if (TakeBits(prompt, kNumberBits) != TakeBits(delay, kNumberBits)) {
    return std::nullopt;
  }
  first_token_observation observation;
  prompt_work& work = observation.work;
  work.tokens = static_cast<std::uint32_t>(TakeBits(prompt, kTokenBits));
  work.prompt_tokens = static_cast<std::uint32_t>(TakeBits(prompt, kTokenBits));
  work.running = static_cast<std::uint32_t>(TakeBits(delay, kRunningBits));
  observation.queued_tokens =
      static_cast<std::uint32_t>(TakeBits(delay, kQueuedBits) * kQueuedUnit);
  observation.delay =
      static_cast<std::int64_t>(TakeBits(delay, kDelayBits)) * kDelayUnit;
  return observation;
}

}  // namespace

engine_profile FitProfile(
    std::span<const first_token_observation> observations) {
  std::vector<sample> samples;
  coefficients scale{};
  for (const first_token_observation& each : observations) {
    if (each.work.tokens == 0 || each.delay <= duration::zero()) {
      continue;
    }
    samples.push_back(MakeSample(each));
    for (std::size_t i = 0; i < kFeatures; ++i) {
      scale[i] += samples.back().features[i];
    }
  }
  if (samples.empty()) {
    return {};
  }
  for (double& each : scale) {
    each /= static_cast<double>(samples.size());
  }
  // Without other running requests, their feature has no scale.
  for (double& each : scale) {
    each = std::max(each, 1e-9);
  }
  coefficients factors{MedianUsPerToken(samples)};
  for (int i = 0; i < kIterations; ++i) {
    const coefficients solved =
        SolveNonNegative(MakeEquations(samples, factors, scale));
    for (std::size_t j = 0; j < kFeatures; ++j) {
      factors[j] = solved[j] / scale[j];
    }
  }
  // The means of both features have the same number of samples.
  const double mean = factors[kPerToken] +
                      factors[kPerPair] * scale[kPerPair] / scale[kPerToken];
  engine_profile fitted;
  fitted.fixed_us = factors[kFixed];
  fitted.prefill_us_per_token = factors[kPerToken];
  fitted.prefill_us_per_pair = factors[kPerPair];
  fitted.running_us_per_token = factors[kPerRunning];
  fitted.mean_us_per_token = mean;
  fitted.queued_us_per_token = QueuedTime(
      factors[kPerQueued], scale[kPerQueued] / scale[kPerToken], mean);
  fitted.observations = static_cast<std::uint32_t>(samples.size());
  return fitted;
}

void profile_estimator::Observe(const first_token_observation& observation) {
  const prompt_work& work = observation.work;
  if (work.tokens < kMinTokens || work.tokens > work.prompt_tokens ||
      observation.delay <= duration::zero()) {
    return;
  }
  const std::uint64_t number = count_.fetch_add(1, std::memory_order_relaxed);
  packed_observation& into = ring_[number % kObservations];
  into.prompt.store(PackPrompt(work, number), std::memory_order_relaxed);
  into.delay.store(PackDelay(observation, number), std::memory_order_relaxed);
}

void profile_estimator::Update(std::span<const engine_profile> peers) {
  const std::uint64_t count = count_.load(std::memory_order_relaxed);
  if (count != fitted_count_ && count >= kMinObservations) {
    fitted_count_ = count;
    std::vector<first_token_observation> observations;
    observations.reserve(kObservations);
    const std::size_t kept = std::min<std::uint64_t>(count, kObservations);
    for (std::size_t i = 0; i < kept; ++i) {
      const auto observation =
          Unpack(ring_[i].prompt.load(std::memory_order_relaxed),
                 ring_[i].delay.load(std::memory_order_relaxed));
      if (observation) {
        observations.push_back(*observation);
      }
    }
    const engine_profile fitted = FitProfile(observations);
    if (IsPlausible(fitted)) {
      own_ = fitted;
    }
  }
  std::vector<engine_profile> all = {own_};
  std::ranges::copy_if(peers, std::back_inserter(all), IsPlausible);
  const engine_profile merged = MergeProfiles(all);
  if (merged.observations > 0) {
    Publish(merged);
  }
}

engine_profile profile_estimator::profile() const {
  return {fixed_us_.load(std::memory_order_relaxed),
          per_token_us_.load(std::memory_order_relaxed),
          per_pair_us_.load(std::memory_order_relaxed),
          running_us_.load(std::memory_order_relaxed),
          mean_us_.load(std::memory_order_relaxed),
          queued_us_.load(std::memory_order_relaxed),
          observations_.load(std::memory_order_relaxed)};
}

void profile_estimator::Publish(const engine_profile& profile) {
  fixed_us_.store(profile.fixed_us, std::memory_order_relaxed);
  per_token_us_.store(profile.prefill_us_per_token, std::memory_order_relaxed);
  per_pair_us_.store(profile.prefill_us_per_pair, std::memory_order_relaxed);
  running_us_.store(profile.running_us_per_token, std::memory_order_relaxed);
  mean_us_.store(profile.mean_us_per_token, std::memory_order_relaxed);
  queued_us_.store(profile.queued_us_per_token, std::memory_order_relaxed);
  observations_.store(profile.observations, std::memory_order_relaxed);
}

}  // namespace anvilloom
