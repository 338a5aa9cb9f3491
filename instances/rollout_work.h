// Defines rollout_work, what the calls of one instance share during a rollout,
// and rollout_view, the rollouts that a call looks up.
#ifndef INSTANCES_ROLLOUT_WORK_H_
#define INSTANCES_ROLLOUT_WORK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "instances/rollout_evidence.h"
#include "instances/rollout_exposure.h"
#include "instances/rollout_record.h"

namespace anvilloom {

// Thread-safe.
class rollout_work {
 public:
  rollout_work(const exposure_bound& bound, double random)
      : exposure(bound, random) {}

  // Whether calls may go to the new version at all: the order was confirmed a
  // short time ago, and nothing has shown that the version is bad.
  bool MayTry(time_point now) const {
    return !stopped_.load(std::memory_order_relaxed) &&
           now.time_since_epoch().count() <
               try_until_us_.load(std::memory_order_relaxed);
  }
  void TryUntil(time_point until) {
    try_until_us_.store(until.time_since_epoch().count(),
                        std::memory_order_relaxed);
  }
  void Stop() { stopped_.store(true, std::memory_order_relaxed); }
  bool stopped() const { return stopped_.load(std::memory_order_relaxed); }

  // Whether calls may go to the old version: this instance would have heard if
  // they must not.
  bool MayUseOld(time_point now) const {
    return now.time_since_epoch().count() <
           old_until_us_.load(std::memory_order_relaxed);
  }
  void OldUntil(time_point until) {
    old_until_us_.store(until.time_since_epoch().count(),
                        std::memory_order_relaxed);
  }

  rollout_exposure exposure;
  rollout_counters counters;

 private:
  std::atomic<std::int64_t> try_until_us_{
      std::numeric_limits<std::int64_t>::min()};
  std::atomic<bool> stopped_{false};
  std::atomic<std::int64_t> old_until_us_{
      std::numeric_limits<std::int64_t>::max()};
};

// A rollout as the calls see it.
struct service_rollout {
  rollout_step step = rollout_step::kObserving;
  // What calls may be sent to, without and with exposure.
  version_rule rule;
  version_rule trial;
  // From when on calls are refused: this instance has found the version bad
  // after it left the old one, and does not know whether it may return.
  time_point refuse_from = time_point::max();
  std::shared_ptr<rollout_work> work;
};

// What one attempt of a call may be sent to.
struct version_choice {
  // Null if it may not be sent at all.
  const version_rule* rule = nullptr;
  // Whether the attempt uses the exposure.
  bool is_trial = false;
};

// The exposure is used in bursts, at the same times on all instances, so that
// the new version meets about the load that it will have: a tenth of the calls
// spread evenly would not show a version that is bad only under load.
inline bool IsTrialTime(std::uint64_t now_ms) {
  constexpr std::uint64_t kPeriodMs = 2400;
  constexpr std::uint64_t kBurstMs = 300;
  return now_ms % kPeriodMs < kBurstMs;
}

// Chooses for an attempt. Only the first attempt of a call is a trial, since a
// retry has already met one upstream in trouble.
inline version_choice ChooseVersion(const service_rollout& rollout,
                                    bool is_first_attempt,
                                    time_point now,
                                    std::uint64_t now_ms) {
  if (rollout.step == rollout_step::kMoved ||
      rollout.step == rollout_step::kCompleted) {
    return now < rollout.refuse_from ? version_choice{&rollout.rule}
                                     : version_choice{};
  }
  rollout_work& work = *rollout.work;
  if (rollout.step == rollout_step::kObserving && is_first_attempt &&
      IsTrialTime(now_ms) && work.MayTry(now) && work.exposure.TryTake()) {
    return {&rollout.trial, true};
  }
  return work.MayUseOld(now) ? version_choice{&rollout.rule} : version_choice{};
}

using rollout_view =
    std::map<std::string, std::shared_ptr<const service_rollout>, std::less<>>;

// The versions of each service for which the orders have been read: those that
// were announced before.
using settled_versions =
    std::map<std::string, std::vector<std::string>, std::less<>>;

// What calls to services without an order may be sent to.
using settled_rules = std::map<std::string, version_rule, std::less<>>;

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_WORK_H_
