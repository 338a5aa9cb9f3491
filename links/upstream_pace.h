// Defines upstream_pace, which limits the calls to an upstream that has just
// started or recovered until it answers like the others of its service.
#ifndef LINKS_UPSTREAM_PACE_H_
#define LINKS_UPSTREAM_PACE_H_

#include <algorithm>
#include <atomic>
#include <cstdint>

#include "common/random.h"

namespace anvilloom {

// What one instance knows of an upstream that it paces.
struct pace_state {
  bool active = false;
  // Share of the calls for which the upstream may be considered.
  double share = 1;
  // Answers since the start or the last trouble.
  std::uint32_t answers = 0;
  // Moving average of the ratio between the time of an answer and the time that
  // the other upstreams of the service would need.
  double ratio = 1;
};

// The calls that are known to run at an upstream.
struct pace_load {
  std::uint32_t own = 0;
  double in_all = 0;
  // Requests that it runs at the same time; 0 if unknown.
  std::uint32_t slots = 0;
};

// Every instance finds the limit from the answers to its own calls and from
// what others report of theirs: one of many instances rarely calls the upstream
// itself. It limits the share of the calls, since a number of calls, however
// small, adds up to too many over hundreds of instances. The share doubles with
// each answer and with each interval in which others have got some, and is
// bounded by the speed that the answers show. In addition, the calls of this
// instance may grow by one with each answer, and all calls that are known to
// run there may take the share of its slots. Thread-safe.
class upstream_pace {
 public:
  // Share after a start. An idle upstream wins about twice its part of the
  // comparisons, so that it gets half of its usual work.
  static constexpr double kInitialShare = 0.25;
  // The share is not reduced further by trouble, since calls have to find out
  // when the trouble is over.
  static constexpr double kMinShare = 1.0 / 32;
  // An upstream with this ratio answers like the others: single answers vary.
  static constexpr double kSoundRatio = 1.25;

  // Limits the calls from now on, as if nothing were known of the upstream.
  void Start() {
    peer_answers_.store(0, std::memory_order_relaxed);
    packed_.store(Pack({true, kInitialShare, 0, 1}), std::memory_order_relaxed);
  }
  bool active() const { return state().active; }
  pace_state state() const {
    return Unpack(packed_.load(std::memory_order_relaxed));
  }

  // Records an answer; `ratio` as in pace_state. `is_cold` if the upstream has
  // said that it is still slow: then its speed says nothing about the time
  // after, and the limit stays.
  void RecordAnswer(double ratio, bool is_cold) {
    Update([&](pace_state& state) {
      ratio = std::clamp(ratio, kMinRatio, kMaxRatio);
      state.ratio = state.answers == 0
                        ? ratio
                        : state.ratio + (ratio - state.ratio) / kAveraged;
      state.answers = std::min(state.answers + 1, kMaxAnswers);
      state.share =
          std::max(std::min(state.share * 2, BoundOf(state.ratio)), kMinShare);
      const bool sound = state.share >= 1 && state.answers >= kMinAnswers;
      // An upstream that is slow for good is left to the placement, which knows
      // its speed.
      const bool settled = state.answers == kMaxAnswers;
      state.active = is_cold || !(sound || settled);
    });
  }
  // Records a refusal or a failure.
  void RecordTrouble() {
    Update([](pace_state& state) {
      state.share = std::max(state.share / 2, kMinShare);
      state.answers = 0;
    });
  }

  // Records what the other instances that limit their calls have reported: the
  // sum of their answers and the mean ratio. To be called once in each interval
  // of the reports: the answers then tell how the upstream fares with the share
  // that the last ones have led to.
  void RecordPeerAnswers(std::uint32_t answers, double ratio, bool is_cold) {
    const std::uint32_t before = peer_answers_.load(std::memory_order_relaxed);
    if (answers >= before && answers - before < kMinAnswers) {
      return;
    }
    peer_answers_.store(answers, std::memory_order_relaxed);
    if (answers < before) {
      // Some of them don't limit their calls any more.
      return;
    }
    Update([&](pace_state& state) {
      const double bound = BoundOf(ratio);
      state.share = std::max(state.share, std::min(state.share * 2, bound));
      state.active = is_cold || state.share < 1;
    });
  }

  // Number of calls that this instance may have there.
  std::uint32_t OwnLimit() const { return 1 + state().answers; }

  // Whether the upstream is considered for a call. `random_seed` is that of the
  // call.
  bool Admits(const pace_load& load, std::uint64_t random_seed) const {
    const pace_state now = state();
    if (!now.active) {
      return true;
    }
    // Twice the share: with the share alone, 7 instances gave a server 0.94
    // instead of all of its usual work in the first seconds.
    const bool full =
        load.slots != 0 && load.in_all >= 1 &&
        load.in_all + 1 > 2 * now.share * static_cast<double>(load.slots);
    return !full && load.own < 1 + now.answers &&
           split_mix(random_seed).NextUnit() < now.share;
  }

 private:
  // Ratios of single answers are bounded: a call that was stalled says little
  // about the speed.
  static constexpr double kMinRatio = 0.25;
  static constexpr double kMaxRatio = 16;
  static constexpr double kAveraged = 4;
  static constexpr std::uint32_t kMinAnswers = 3;
  // Answers after which an upstream that is still slow counts as slow for good.
  static constexpr std::uint32_t kMaxAnswers = 64;

  // The state is packed into one atomic: the flag, the answers, and share and
  // ratio as fractions of 2^16 and 2^10.
  static constexpr double kShareUnit = 1 << 16;
  static constexpr double kRatioUnit = 1 << 10;
  static constexpr std::uint32_t kAnswersShift = 1;
  static constexpr std::uint32_t kShareShift = 9;
  static constexpr std::uint32_t kRatioShift = 32;

  static std::uint64_t Pack(const pace_state& state) {
    return (state.active ? 1U : 0U) |
           (std::uint64_t{state.answers} << kAnswersShift) |
           (static_cast<std::uint64_t>(state.share * kShareUnit)
            << kShareShift) |
           (static_cast<std::uint64_t>(state.ratio * kRatioUnit)
            << kRatioShift);
  }
  static pace_state Unpack(std::uint64_t packed) {
    constexpr std::uint64_t kAnswersMask = 0xff;
    constexpr std::uint64_t kShareMask = 0x1ffff;
    return {
        (packed & 1U) != 0,
        static_cast<double>((packed >> kShareShift) & kShareMask) / kShareUnit,
        static_cast<std::uint32_t>((packed >> kAnswersShift) & kAnswersMask),
        static_cast<double>(packed >> kRatioShift) / kRatioUnit};
  }

  // Largest share of an upstream with this ratio.
  static double BoundOf(double ratio) {
    return std::min(1.0, kSoundRatio / std::max(ratio, kMinRatio));
  }

  // Applies a change to the state if the upstream is paced.
  template <typename Change>
  void Update(Change change) {
    std::uint64_t before = packed_.load(std::memory_order_relaxed);
    for (;;) {
      pace_state state = Unpack(before);
      if (!state.active) {
        return;
      }
      change(state);
      if (packed_.compare_exchange_weak(before, Pack(state),
                                        std::memory_order_relaxed)) {
        return;
      }
    }
  }

  std::atomic<std::uint64_t> packed_{Pack({})};
  // Answers of the other instances that have been taken into account.
  std::atomic<std::uint32_t> peer_answers_{0};
};

}  // namespace anvilloom

#endif  // LINKS_UPSTREAM_PACE_H_
