// Defines pooled_upstream, one announced lifetime of an upstream with its load
// as known to this entry instance, and upstream_pool, the upstreams of a
// service.
#ifndef LINKS_POOLED_UPSTREAM_H_
#define LINKS_POOLED_UPSTREAM_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "common/time.h"
#include "instances/rollout_calls.h"
#include "instances/sent_work.h"
#include "instances/upstream_announcement.h"
#include "links/answer_time.h"
#include "links/delay_bias.h"
#include "links/engine_slowdown.h"
#include "links/profile_estimator.h"
#include "links/retry_budget.h"
#include "links/upstream_pace.h"
#include "links/urgency_admission.h"

namespace anvilloom {

// Thread-safe: the announcement is immutable and the other state is atomic.
class pooled_upstream {
 public:
  explicit pooled_upstream(upstream_announcement announced)
      : announced_(std::move(announced)),
        hash_(CombineHash(Hash64(announced_.id), announced_.born_ms)) {}

  const upstream_announcement& announced() const { return announced_; }
  // Identifies this lifetime in placement and in reports between instances.
  std::uint64_t hash() const { return hash_; }

  // Counts a call as running until End(). `unread_tokens` is the number of
  // prompt tokens that the upstream has to compute.
  void Begin(std::uint32_t unread_tokens) {
    running_.fetch_add(1, std::memory_order_relaxed);
    unread_tokens_.fetch_add(unread_tokens, std::memory_order_relaxed);
  }
  // Ends the prefill of a call, when its first token has arrived.
  void EndPrefill(std::uint32_t unread_tokens) {
    unread_tokens_.fetch_sub(unread_tokens, std::memory_order_relaxed);
  }
  void End() { running_.fetch_sub(1, std::memory_order_relaxed); }

  std::uint32_t running() const {
    return running_.load(std::memory_order_relaxed);
  }
  std::uint32_t unread_tokens() const {
    return unread_tokens_.load(std::memory_order_relaxed);
  }

  // Whether this instance is one of the few that send each other immediate
  // updates of the calls they send to this upstream. Its load is then known
  // with less delay than from reports.
  void SetHasFreshLoad(bool has_fresh_load) {
    has_fresh_load_.store(has_fresh_load, std::memory_order_relaxed);
  }
  bool has_fresh_load() const {
    return has_fresh_load_.load(std::memory_order_relaxed);
  }

  // Sets the calls and uncomputed prompt tokens that the other entry instances
  // have at this upstream, from their latest reports.
  void SetPeerLoad(std::uint32_t running, std::uint32_t unread_tokens) {
    remote_running_.store(running, std::memory_order_relaxed);
    remote_unread_tokens_.store(unread_tokens, std::memory_order_relaxed);
  }
  // Adds the load of the other instances to the average. Called once in each
  // interval of the reports.
  void AveragePeerLoad(time_point now) {
    average_remote_running_.Add(remote_running_.load(std::memory_order_relaxed),
                                now);
  }
  std::uint32_t total_running() const {
    return running() + remote_running_.load(std::memory_order_relaxed);
  }
  std::uint32_t total_unread_tokens() const {
    return unread_tokens() +
           remote_unread_tokens_.load(std::memory_order_relaxed);
  }

  // What this instance reports to the others.
  sent_work outstanding() const {
    sent_work own{hash_, running(), unread_tokens()};
    const pace_state state = pace_.state();
    if (state.active) {
      own.paced_answers = state.answers;
      own.paced_permille =
          static_cast<std::uint32_t>(state.answers * state.ratio * kPermille);
    }
    return own;
  }

  // Records what the upstream says about its load in an answer to this
  // instance.
  void RecordLoad(const upstream_load_figures& figures, time_point now) {
    load_.Record(figures, running(), now);
  }
  // Records a slow-down that the upstream has stated to another instance.
  void RecordSlowdown(std::uint32_t permille, time_point seen_at) {
    load_.RecordSlowdown(permille, seen_at);
  }
  // Returns the largest slow-down that the upstream has stated since the last
  // call, in thousandths of the usual time; 0 if it has stated none.
  std::uint32_t TakeLargestSlowdown() { return load_.TakeLargestSlowdown(); }
  // Whether the upstream says anything about its load.
  bool reports_load() const { return load_.known(); }
  // Expected time of work there relative to the usual time, as far as the
  // upstream has said so; otherwise 1.
  double slowdown(time_point now) const { return load_.Slowdown(now); }
  // Expected number of calls of all instances there.
  double ExpectedRunning(time_point now) const {
    return running() +
           load_.CallsOfOthers(remote_running_.load(std::memory_order_relaxed),
                               now);
  }
  // Same at an upstream of a plain service, where calls are answered within
  // `answer_time`. Figures and reports are usually older than that, so that
  // they no longer describe the calls that run there, and all instances would
  // follow the same ones. Their difference from the average counts only as long
  // as the calls last.
  double ExpectedPlainRunning(duration answer_time, time_point now) const {
    return running() + load_.CallsOfOthers(average_remote_running_.value(), now,
                                           answer_time);
  }
  // Requests that it runs at the same time; 0 if it does not say so.
  std::uint32_t slots() const {
    return load_.slots() != 0 ? load_.slots() : announced_.slots;
  }

  // Permanently stops new calls to this upstream, because it is leaving or its
  // address belongs to another upstream.
  void Leave() { leaving_.store(true, std::memory_order_relaxed); }
  bool leaving() const { return leaving_.load(std::memory_order_relaxed); }
  // Same as Leave(), since the upstream has said so in an answer. That holds
  // for this lifetime whatever its entry in the store says.
  void LeaveByOwnWord() {
    said_leaving_.store(true, std::memory_order_relaxed);
    Leave();
  }
  bool said_leaving() const {
    return said_leaving_.load(std::memory_order_relaxed);
  }

  // Stops new calls until `until`, since the upstream has asked for it.
  void RefuseUntil(deadline until) {
    std::int64_t known = refuses_until_us_.load(std::memory_order_relaxed);
    const std::int64_t us = until.at().time_since_epoch().count();
    while (known < us && !refuses_until_us_.compare_exchange_weak(
                             known, us, std::memory_order_relaxed)) {
    }
  }
  deadline refuses_until() const {
    return deadline(time_point(
        duration(refuses_until_us_.load(std::memory_order_relaxed))));
  }

  // A success resets the count of consecutive failures. From
  // kToleratedFailures on, each one doubles the backoff.
  void RecordSuccess() {
    RecordResult(0);
    if (consecutive_failures_.load(std::memory_order_relaxed) != 0) {
      consecutive_failures_.store(0, std::memory_order_relaxed);
    }
  }
  void RecordFailure(time_point now) {
    RecordResult(kPermille);
    pace_.RecordTrouble();
    const std::uint32_t consecutive =
        consecutive_failures_.fetch_add(1, std::memory_order_relaxed) + 1;
    if (consecutive < kToleratedFailures) {
      return;
    }
    const std::uint32_t doublings =
        consecutive - kToleratedFailures < kMaxDoublings
            ? consecutive - kToleratedFailures
            : kMaxDoublings;
    const duration backoff = kInitialBackoff * (1U << doublings);
    pace_.Start();
    backoff_until_us_.store((now + backoff).time_since_epoch().count(),
                            std::memory_order_relaxed);
  }
  // Records a failed connection and starts the backoff at once. It is stronger
  // evidence than a failed call: the process is gone or cannot be reached.
  void RecordUnreachable(time_point now) {
    if (consecutive_failures_.load(std::memory_order_relaxed) + 1 <
        kToleratedFailures) {
      consecutive_failures_.store(kToleratedFailures - 1,
                                  std::memory_order_relaxed);
    }
    RecordFailure(now);
  }
  // Records that the upstream refused a call because it has no free slot.
  void RecordOverload(time_point now) {
    pace_.RecordTrouble();
    const std::int64_t until =
        (now + kOverloadBackoff).time_since_epoch().count();
    if (backoff_until_us_.load(std::memory_order_relaxed) < until) {
      backoff_until_us_.store(until, std::memory_order_relaxed);
    }
  }
  // Records the ratio between the observed and the expected time to a first
  // token for which the call hardly had to wait.
  void RecordPace(double ratio, time_point now) {
    const double before = pace(now);
    pace_permille_.store(
        static_cast<std::uint32_t>(
            (before + (std::clamp(ratio, kMinPace, kMaxPace) - before) /
                          kAveragedPaces) *
            kPermille),
        std::memory_order_relaxed);
    pace_until_us_.store((now + kPaceLifetime).time_since_epoch().count(),
                         std::memory_order_relaxed);
  }
  // The time that this upstream takes relative to the others of its service: 2
  // if it is half as fast. 1 without recent observations, so that calls go
  // there and observe it again.
  double pace(time_point now) const {
    const bool recent = now.time_since_epoch().count() <
                        pace_until_us_.load(std::memory_order_relaxed);
    return recent ? pace_permille_.load(std::memory_order_relaxed) /
                        double{kPermille}
                  : 1.0;
  }

  // Limits the calls to this upstream, which has just started, until it answers
  // like the others of its service. A recovery does the same.
  void StartPacing() { pace_.Start(); }
  const upstream_pace& pacing() const { return pace_; }
  // Whether the limit counts. The speed of others is known only if upstreams of
  // the service report their load.
  bool IsPaced(bool service_reports_load, time_point now) const {
    return (service_reports_load || IsCold(now)) && pace_.active();
  }
  // Records the ratio between the time of an answer and the time that the other
  // upstreams of the service would need.
  void RecordPacedAnswer(double ratio, time_point now) {
    pace_.RecordAnswer(ratio, IsCold(now));
  }
  // Records the sum of what the other instances have last reported of their
  // answers. Called once in each interval of the reports.
  void RecordPeerAnswers(const sent_work& sum, time_point now) {
    if (sum.paced_answers > 0) {
      pace_.RecordPeerAnswers(
          sum.paced_answers,
          sum.paced_permille / double{kPermille} / sum.paced_answers,
          IsCold(now));
    }
  }
  // Whether a call may be sent there as far as the pacing goes. `random_seed`
  // is that of the call.
  bool PaceAdmits(time_point now, std::uint64_t random_seed) const {
    return pace_.Admits({running(), ExpectedRunning(now), slots()},
                        CombineHash(random_seed, hash_));
  }
  // Number of further calls that this instance may have there now. Unlimited
  // unless the upstream is paced.
  std::uint32_t allowance(time_point now) const {
    if (!pace_.active()) {
      return std::numeric_limits<std::uint32_t>::max();
    }
    const pace_state state = pace_.state();
    const std::uint32_t own = pace_.OwnLimit();
    const std::uint32_t left = own > running() ? own - running() : 0;
    if (slots() == 0) {
      return left;
    }
    const double free =
        std::max(state.share * slots(), 1.0) - ExpectedRunning(now);
    return std::min(left, static_cast<std::uint32_t>(std::max(free, 0.0)));
  }

  // The upstream has said that its answers are slow until `until`, because it
  // has just started.
  void SetCold(deadline until) {
    cold_until_us_.store(until.at().time_since_epoch().count(),
                         std::memory_order_relaxed);
  }
  bool IsCold(time_point now) const {
    return now.time_since_epoch().count() <
           cold_until_us_.load(std::memory_order_relaxed);
  }

  // How much slower a cold upstream has been so far than the others; 1 if it is
  // not cold.
  double ColdFactor(time_point now) const {
    return IsCold(now) ? std::max(pace_.state().ratio, 1.0) : 1.0;
  }
  void RecordSlowWhileCold() { pace_.RecordTrouble(); }

  // Moving average of the share of failed calls, in thousandths.
  std::uint32_t failed_permille() const {
    return failed_permille_.load(std::memory_order_relaxed);
  }
  bool InBackoff(time_point now) const {
    return now.time_since_epoch().count() <
           backoff_until_us_.load(std::memory_order_relaxed);
  }

 private:
  static constexpr std::uint32_t kPermille = 1000;
  // Calls over which the share of failures is averaged.
  static constexpr std::uint32_t kAveragedCalls = 16;

  // Calls over which the pace is averaged. Single first tokens vary by more
  // than the pace of sound engines.
  static constexpr double kAveragedPaces = 12;
  // Bounds of the ratio of one call. A stalled call says nothing about the
  // engine's speed.
  static constexpr double kMinPace = 0.5;
  static constexpr double kMaxPace = 4.0;
  static constexpr duration kPaceLifetime = std::chrono::seconds(10);

  // Time over which the load by other instances' reports is averaged: several
  // of their intervals, which are up to a few seconds long.
  static constexpr duration kLoadTimeConstant = std::chrono::seconds(10);

  // Concurrent updates may lose a result, which the average tolerates.
  void RecordResult(std::uint32_t permille) {
    const std::uint32_t before = failed_permille();
    failed_permille_.store(
        (before * (kAveragedCalls - 1) + permille) / kAveragedCalls,
        std::memory_order_relaxed);
  }

  // A single failure is no reason for a backoff: upstreams normally fail a few
  // calls in a thousand.
  static constexpr std::uint32_t kToleratedFailures = 3;
  // A full upstream completes a few calls within this time.
  static constexpr duration kOverloadBackoff = std::chrono::milliseconds(100);
  static constexpr duration kInitialBackoff = std::chrono::milliseconds(500);
  // Limits the backoff to 4 s: a crashed upstream is removed from the store by
  // then.
  static constexpr std::uint32_t kMaxDoublings = 3;

  upstream_announcement announced_;
  std::uint64_t hash_;
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> unread_tokens_{0};
  std::atomic<std::uint32_t> remote_running_{0};
  average_over_time average_remote_running_{kLoadTimeConstant};
  std::atomic<std::uint32_t> remote_unread_tokens_{0};
  std::atomic<std::uint32_t> consecutive_failures_{0};
  std::atomic<std::uint32_t> failed_permille_{0};
  std::atomic<std::uint32_t> pace_permille_{kPermille};
  std::atomic<std::int64_t> pace_until_us_{0};
  std::atomic<std::int64_t> backoff_until_us_{0};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> said_leaving_{false};
  std::atomic<std::int64_t> refuses_until_us_{0};
  std::atomic<std::int64_t> cold_until_us_{0};
  reported_load load_;
  upstream_pace pace_;
  std::atomic<bool> has_fresh_load_{true};
};

// Whether `paced` of the upstreams of a service get fewer calls: the others
// must be able to take these.
inline bool CanPace(std::size_t paced, std::size_t upstreams) {
  return paced > 0 && 2 * paced <= upstreams;
}

// State shared by all calls of this instance to one service.
struct service_stats {
  retry_budget retries;
  // Bias of the first tokens that this instance has observed.
  delay_bias first_token;
  profile_estimator profile;
  urgency_admission admission;
  // Moving average of the time that calls to a plain service take at an
  // upstream with a free slot, in microseconds; 0 before the first one.
  std::atomic<std::int64_t> plain_time_us{0};
  // Answers of a plain service.
  answer_time answers;
  // Prompt tokens that upstreams had to compute for this instance.
  std::atomic<std::uint64_t> read_tokens{0};
  // Counted where a deployment has rollouts.
  rollout_calls calls_by_version;
};

struct upstream_pool {
  std::string service;
  bool model = false;
  std::shared_ptr<service_stats> stats;
  // Transfer time of a cached token between two engines, in microseconds.
  double transfer_us_per_token = 0;
  std::vector<std::shared_ptr<pooled_upstream>> members;
};

}  // namespace anvilloom

#endif  // LINKS_POOLED_UPSTREAM_H_
