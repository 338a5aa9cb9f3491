// Defines rollout_verdict, a sequential test that finds out whether a new
// version of a service fails more calls than the old one or is much slower.
#ifndef INSTANCES_ROLLOUT_VERDICT_H_
#define INSTANCES_ROLLOUT_VERDICT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "instances/rollout_evidence.h"

namespace anvilloom {

// Adds up the evidence of several processes, each of which reports the total
// since its start. The evidence of a process that has ended is kept.
class rollout_tally {
 public:
  // `source` identifies a run of a process.
  void Take(std::string_view source, const rollout_evidence& evidence);
  rollout_evidence Total() const;

 private:
  using cell_key = std::pair<std::uint64_t, bool>;
  using cells = std::map<cell_key, rollout_cell>;

  std::map<std::string, cells, std::less<>> sources_;
  cells total_;
};

// Page's cumulative sum test between two hypotheses: the new version fails as
// many calls as the old one (or is slow as often), or many more. The log
// likelihood ratio never falls below zero, so a version that becomes bad after
// many good answers is found as soon as one that is bad at first. The test is
// made for all calls together, for each route, and for calls to loaded and to
// other upstreams. By Wald's inequality, a restart of the sum at zero leads to
// a wrong verdict with a probability below exp(-kThreshold), 2 in 100,000. A
// sound version restarts it about once for each of its failed or slow calls.
// Not thread-safe.
class rollout_verdict {
 public:
  // Takes the total of all evidence so far. With `judge_delay` false, the
  // delays of the calls since the last update are ignored.
  void Update(const rollout_evidence& total, bool judge_delay);

  bool is_bad() const { return bad_; }
  // What has shown that the version is bad; empty before.
  std::string_view cause() const { return cause_; }
  std::uint64_t new_calls() const { return new_calls_; }
  std::uint64_t new_failures() const { return new_failures_; }
  std::uint64_t old_calls() const { return old_calls_; }

 private:
  static constexpr double kThreshold = 11;

  // The hypotheses on a share of calls. `usual` is the least share that a sound
  // version may have, since upstreams normally fail a few calls in a thousand.
  struct share_terms {
    double usual = 0;
    double least_bad = 0;
    double least_factor = 0;
  };
  // Calls by which the share of the old version is estimated; older ones count
  // less, so that trouble which meets both versions is no sign of a bad one.
  static constexpr double kRememberedCalls = 300;
  // Weight of the usual share in calls, while there are few others.
  static constexpr double kPriorCalls = 60;
  static constexpr share_terms kFailureTerms{0.01, 0.10, 3};
  static constexpr share_terms kSlowTerms{0.06, 0.35, 3};

  struct share_test {
    double old_calls = 0;
    double old_hits = 0;
    double sum = 0;

    // Takes calls and those that failed or were slow. Returns whether the sum
    // has reached the threshold.
    bool Take(const share_terms& terms,
              std::uint32_t old_version_calls,
              std::uint32_t old_version_hits,
              std::uint32_t calls,
              std::uint32_t hits);
  };
  struct group {
    rollout_counts old_version;
    rollout_counts new_version;
    share_test failures;
    share_test delay;
  };
  // Index 0 holds all calls, 1 and 2 those by load, the others one route.
  using group_key = std::uint64_t;
  static constexpr group_key kAllCalls = 0;
  static constexpr group_key kByLoad = 1;
  static constexpr group_key kFirstRoute = 3;

  void UpdateGroup(group& known, const rollout_cell& total, bool judge_delay);

  std::map<group_key, group> groups_;
  bool bad_ = false;
  std::string_view cause_;
  std::uint64_t new_calls_ = 0;
  std::uint64_t new_failures_ = 0;
  std::uint64_t old_calls_ = 0;
};

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_VERDICT_H_
