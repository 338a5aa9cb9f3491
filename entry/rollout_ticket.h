// Defines rollout_ticket, the permission of one attempt of a call to be sent to
// certain versions of its service, and the account of how it ended.
#ifndef ENTRY_ROLLOUT_TICKET_H_
#define ENTRY_ROLLOUT_TICKET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/hash.h"
#include "common/time.h"
#include "entry/gateway_state.h"
#include "instances/rollout_calls.h"
#include "instances/rollout_work.h"
#include "links/attempt_policy.h"
#include "links/placement.h"
#include "links/pooled_upstream.h"

namespace anvilloom {

// Used by one call at a time. What an attempt has taken is given back when it
// is released, or the ticket is replaced or destroyed. The pool must outlive
// it.
class rollout_ticket {
 public:
  rollout_ticket() = default;
  ~rollout_ticket() { Release(); }
  rollout_ticket(const rollout_ticket&) = delete;
  rollout_ticket& operator=(const rollout_ticket&) = delete;

  // Chooses the versions for an attempt. False if the service may not be called
  // at all.
  bool Choose(const gateway_state& state,
              const upstream_pool& pool,
              bool is_first_attempt,
              time_point now) {
    Release();
    if (!state.settings.HasRollouts()) {
      return true;
    }
    calls_ = &pool.stats->calls_by_version;
    calls_->BeginChoice();
    choosing_ = true;
    rollout_ = state.FindRollout(pool.service);
    if (!rollout_) {
      settled_ = state.Settled();
      const auto rule = settled_->find(pool.service);
      if (rule == settled_->end()) {
        return RestrictToOldest(pool, now, state.OrdersUnreadUntil());
      }
      choice_.rule = &rule->second;
      return true;
    }
    choice_ = ChooseVersion(
        *rollout_, is_first_attempt, now,
        static_cast<std::uint64_t>(state.TimeOfDayMicros() / kMicrosPerMilli));
    return choice_.rule != nullptr;
  }

  // The versions for placement_request; null for all.
  const version_rule* rule() const { return choice_.rule; }
  // Whether another version may be chosen if there is no upstream of this one.
  bool is_trial() const { return choice_.is_trial; }

  // Notes that the attempt is sent to an upstream of this version.
  void Send(std::string_view version) {
    sent_ = true;
    if (calls_ != nullptr) {
      slot_ = calls_->Begin(version);
      if (slot_) {
        EndChoice();
      }
    }
    if (rollout_ && !counted_) {
      counted_ = true;
      rollout_->work->exposure.CountCall();
    }
  }

  // Counts an attempt that has ended. `delay` is unset if it says nothing.
  void Record(const pooled_upstream& target,
              const placement& placed,
              std::string_view route,
              attempt_end end,
              std::optional<double> delay) {
    const bool failed = end == attempt_end::kServerError ||
                        end == attempt_end::kTimedOut ||
                        (end == attempt_end::kLost && !target.leaving());
    if (!rollout_ || IsFinal(rollout_->step) ||
        (end != attempt_end::kAnswered && !failed)) {
      return;
    }
    rollout_result result;
    result.route = std::max<std::uint64_t>(Hash64(route), kMinRoute);
    const std::uint32_t slots = target.announced().slots;
    result.loaded = slots > 0 && placed.running * 2 >= slots;
    result.is_new = rollout_->trial.Allows(target.announced().version);
    result.failed = failed;
    result.delay = failed ? std::nullopt : delay;
    rollout_->work->counters.Record(result);
  }

  void Release() {
    if (choice_.is_trial && !sent_) {
      rollout_->work->exposure.Return();
    }
    if (slot_) {
      calls_->End(*slot_);
      slot_.reset();
    }
    EndChoice();
    choice_ = {};
    sent_ = false;
  }

 private:
  static constexpr std::int64_t kMicrosPerMilli = 1000;
  // Smaller numbers have a meaning of their own in rollout_counters.
  static constexpr std::uint64_t kMinRoute = 16;

  void EndChoice() {
    if (choosing_) {
      calls_->EndChoice();
      choosing_ = false;
    }
  }

  // An instance that has not read the orders of a service yet sends calls only
  // to the version that has run for longest: the others may not be allowed. If
  // there are others, and it is out of touch, that one may not be allowed
  // either.
  bool RestrictToOldest(const upstream_pool& pool,
                        time_point now,
                        time_point until) {
    const auto oldest = std::ranges::min_element(
        pool.members, {},
        [](const auto& each) { return each->announced().born_ms; });
    if (oldest != pool.members.end()) {
      const std::string& version = (*oldest)->announced().version;
      unread_rule_.only = version;
      choice_.rule = &unread_rule_;
      return now < until ||
             std::ranges::all_of(pool.members, [&](const auto& each) {
               return each->announced().version == version;
             });
    }
    return true;
  }

  std::shared_ptr<const service_rollout> rollout_;
  version_choice choice_;
  version_rule unread_rule_;
  std::shared_ptr<const settled_rules> settled_;
  // The calls of the service, which outlive the call; null without rollouts.
  rollout_calls* calls_ = nullptr;
  // Whether the attempt counts as one that chooses, and where it is counted
  // once it is sent.
  bool choosing_ = false;
  std::optional<std::size_t> slot_;
  // Whether the call has been counted for the exposure.
  bool counted_ = false;
  bool sent_ = false;
};

}  // namespace anvilloom

#endif  // ENTRY_ROLLOUT_TICKET_H_
