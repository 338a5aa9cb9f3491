// Defines urgency_admission, which decides who gets the capacity of a service
// while it is short: the most urgent calls first, and the workspaces of the
// same urgency in equal shares.
#ifndef LINKS_URGENCY_ADMISSION_H_
#define LINKS_URGENCY_ADMISSION_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "common/time.h"
#include "contracts/decayed_counter.h"
#include "links/first_token_admission.h"

namespace anvilloom {

// On whose behalf a call asks for capacity.
struct call_standing {
  // Priority of the workspace or of the route; 0 is the most urgent.
  std::uint32_t urgency = 0;
  // Hash of the workspace; 0 if there is none.
  std::uint64_t workspace = 0;
  // Uniform by call, and the same if a client sends the call again soon: a
  // second draw would reward clients that retry at once.
  std::uint64_t lot = 0;
};

// The work that workspaces asked for and got recently. Up to kSlots workspaces
// are counted each by itself; further ones share the counts of others.
// Thread-safe.
class workspace_shares {
 public:
  void CountOffered(std::uint64_t workspace, float work, time_point now);
  void CountAdmitted(std::uint64_t workspace, float work, time_point now);
  // Whether the workspace has got more than its max-min share: the level up to
  // which all workspaces together get what was admitted.
  bool IsOverShare(std::uint64_t workspace, time_point now);
  // The part of the work that it asked for and got.
  float AdmittedPart(std::uint64_t workspace, time_point now);

 private:
  static constexpr std::size_t kSlots = 128;
  // Slots that a workspace may be counted in, so that a look-up stays short.
  static constexpr std::size_t kProbes = 8;
  // An instance among many gets only a few calls of a workspace each second.
  static constexpr duration kTimeConstant = std::chrono::seconds(10);
  // The level costs a pass over all slots and changes slowly.
  static constexpr duration kLevelLifetime = std::chrono::milliseconds(100);
  // Shares are only compared with this tolerance, so that one call more or less
  // does not decide.
  static constexpr float kTolerance = 1.2F;
  // Work in microseconds below which a slot is free for another workspace.
  static constexpr float kForgottenWork = 1;

  struct slot {
    std::atomic<std::uint64_t> workspace{0};
    decayed_counter offered{kTimeConstant};
    decayed_counter admitted{kTimeConstant};
  };

  slot& Find(std::uint64_t workspace, time_point now);
  float Level(time_point now);
  float ComputeLevel(time_point now) const;

  std::array<slot, kSlots> slots_;
  std::atomic<float> level_{0};
  std::atomic<std::int64_t> level_until_us_{0};
};

// While nothing is refused, a call is decided by first_token_admission alone.
// Otherwise the service is short of capacity, and a queue length at which a
// call is refused depends on its urgency: a call may find a queue of its whole
// slack if no more urgent calls are offered, and of a part of it that falls
// with each more urgent kind. The queues at the upstreams are known to all
// instances from reports, so that they agree on the calls that are refused
// without messages of their own. Less urgent calls also leave a queue that
// suits more urgent ones which are refused.
//
// An instance that has just started, or hears from no other, decides by the
// same rule with what it knows: its own calls, upstreams that turn calls away,
// and first tokens that come late. It refuses nothing until one of these shows
// a shortage. Thread-safe.
class urgency_admission {
 public:
  // Levels of urgency. Calls of a larger number count as the last one.
  static constexpr std::size_t kLevels = 10;

  // Decides on a call and counts it. `excess` is as in first_token_admission.
  admission_verdict Decide(const first_token_estimate& estimate,
                           const call_standing& standing,
                           duration excess,
                           time_point now);

  // Counts an admitted call that every upstream has turned away.
  void CountTurnedAway(time_point now);

  // See first_token_admission.
  duration TypicalDelay(const first_token_estimate& estimate,
                        const call_standing& standing) const;

  // Returns the time after which a refused call should come back. `draw` is
  // uniform in [0, 1). Callers return only within a third of the time they have
  // left. The most urgent ones return while they can still meet their target,
  // the others later, and each kind is spread over its interval.
  duration ReturnDelay(const first_token_estimate& estimate,
                       const call_standing& standing,
                       double draw,
                       time_point now) const;

  // Whether to report the shortage: true for the first refusal after a while
  // without reports.
  bool TakeShortageReport(time_point now);

  // How certain it is that capacity is short: 0 if nothing was refused
  // recently, 1 if more than a small share of the calls was.
  double Shortage(time_point now) const;

 private:
  // Recent refusals count for a few seconds: a burst is as long.
  static constexpr duration kTimeConstant = std::chrono::seconds(3);
  // Share of refused calls from which on capacity is certainly short.
  static constexpr float kShortageShare = 0.05F;
  // Part of the slack that the queue may take for calls with one more urgent
  // kind, relative to that for the more urgent kind. The difference must exceed
  // the error with which instances know the queues.
  static constexpr double kShareRatio = 0.6;
  // Same for workspaces that have got more than their share, while others of
  // the same urgency are deprived.
  static constexpr double kOverShareRatio = 0.3;
  // Calls that are admitted less often than this are deprived.
  static constexpr float kDeprivedShare = 0.95F;
  // Part of the slack of deprived calls that less urgent calls may fill.
  static constexpr double kLeftShare = 0.5;
  // A call that gives precedence is admitted at least this often relative to
  // all calls, so that nobody starves.
  static constexpr float kLeastRelativeShare = 0.3F;
  static constexpr duration kReportInterval = std::chrono::seconds(10);
  // With fewer recent calls of a kind, it counts as absent.
  static constexpr float kMinOffered = 0.5F;

  struct level {
    decayed_counter offered{kTimeConstant};
    first_token_admission by_slack;
    workspace_shares workspaces;
    // Calls of workspaces that have not got more than their share.
    decayed_counter fair_offered{kTimeConstant};
    decayed_counter fair_admitted{kTimeConstant};
  };

  struct ranked_call {
    std::size_t urgency = 0;
    std::uint64_t workspace = 0;
    std::uint64_t lot = 0;
    duration slack{0};
    bool over_share = false;
  };

  static std::size_t LevelOf(const call_standing& standing);
  // Number of more urgent kinds that are offered.
  std::size_t Rank(std::size_t urgency, time_point now) const;
  // Part of the slack that the queue may take for a call.
  double QueueShare(const ranked_call& call, time_point now) const;
  // Whether a call that would give precedence is admitted nevertheless.
  bool GetsLeastShare(const ranked_call& call, time_point now);
  static bool AreOthersDeprived(const level& counts, time_point now);

  std::array<level, kLevels> levels_;
  decayed_counter offered_{kTimeConstant};
  decayed_counter refused_{kTimeConstant};
  std::atomic<std::int64_t> next_report_us_{0};
};

}  // namespace anvilloom

#endif  // LINKS_URGENCY_ADMISSION_H_
