// Defines crash_suspects, which finds the parts of prompts that crash
// upstreams.
#ifndef LINKS_CRASH_SUSPECTS_H_
#define LINKS_CRASH_SUSPECTS_H_

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "instances/suspect_report.h"
#include "links/prompt.h"
#include "links/suspect_view.h"

namespace anvilloom {

// An upstream that ended before it had answered a call.
struct crash_record {
  std::uint64_t upstream_hash = 0;
  std::uint64_t call_hash = 0;
  time_point at;
};

// Returns the keys under which the shared parts of a prompt are suspected: a
// part that crashes the upstreams of one service may be harmless to another.
// The private part of a call can't recur, so it is left out.
std::vector<std::uint64_t> SuspectKeys(std::string_view service,
                                       const prompt_shape& prompt);

// Counts, for each part of the prompts, the upstreams that ended before they
// had answered a call with it. A part that crashes upstreams is never answered,
// while other calls with the sound parts beside it are, so one answer clears a
// part. A part under which several upstreams have ended, one after the other
// and in several calls, without an answer in between is blocked. Where several
// parts have always been together, calls with all of them are refused until a
// call with some of them tells which it is. After a time that grows with the
// time it has been crashing upstreams, one call tries a blocked part again.
//
// A prompt may have thousands of parts. Those that have been in the same calls
// share one history, so that a call costs time in proportion to its parts, and
// a report names the ends once for all of them.
//
// Each instance passes what it sees, and what is new to it in the reports of
// others, on to a few others, so all reach the same verdicts. Not thread-safe.
class crash_suspects {
 public:
  // Upstreams that must have ended under a part before it is blocked, and the
  // number of calls that must have been involved: one call that is repeated may
  // find upstreams that end for other reasons.
  static constexpr std::size_t kBlockingCrashes = 3;
  static constexpr std::size_t kBlockingCalls = 2;
  // Upstreams that must have ended under a part, and the time over which they
  // must have, before it is blocked although others ended meanwhile. Calls are
  // answered within that time, so that a sound part would have been cleared.
  static constexpr std::size_t kLastingCrashes = 5;
  static constexpr duration kLastingTime = std::chrono::seconds(10);
  // Upstreams that end within this time count as one, since the cause may be
  // the loss of a rack or failure domain.
  static constexpr duration kCoincidence = std::chrono::milliseconds(100);
  // Time from the last crash to the first trial. Upstreams take seconds to
  // return, and each trial of a part that still crashes them ends another one.
  static constexpr duration kMinTrialDelay = std::chrono::seconds(20);
  static constexpr duration kMaxTrialDelay = std::chrono::hours(1);
  // Delay between the instances' turns to try a part, so that they don't all
  // try it at once. A prompt is answered, or crashes its upstream, within this
  // time.
  static constexpr duration kTrialStagger = std::chrono::seconds(2);
  // Bounds the memory and the views. A prompt of this many parts takes headers
  // of 256 KiB, as a part takes at least four bytes.
  static constexpr std::size_t kMaxSuspects = std::size_t{1} << 16U;

  // Records that an upstream ended before it had answered a call with these
  // parts.
  void RecordCrash(std::span<const std::uint64_t> parts,
                   const crash_record& crash);
  // Records an answer to a call with these parts.
  void RecordAnswer(std::span<const std::uint64_t> parts, time_point now);
  // Records that a call with these parts tries those that are blocked.
  void RecordTrial(std::span<const std::uint64_t> parts, time_point now);
  // Applies what another instance has reported.
  void Merge(const suspect_report& report, time_point now);
  // Applies what was stored. It is not passed on, since all instances read it.
  void Restore(const suspect_evidence& stored, time_point now);

  // Returns the reports to pass on to a few other instances now: no more than
  // fit into one message, so that the traffic does not grow with the upstreams
  // that end. The rest follows at the next calls. Call at intervals.
  std::vector<suspect_report> TakeReports(time_point now);
  // Returns the first blocked parts, for instances that have just started: no
  // more than fit into one message.
  std::vector<suspect_report> BlockedReports(time_point now) const;
  // Returns what to store for the case that all instances are lost: the parts
  // that are blocked, those under which too few upstreams have ended yet, and
  // the ends of all upstreams, against which both are weighed. Of very many,
  // those with the most ends.
  suspect_evidence Evidence(time_point now) const;

  // Forgets ends and answers that no longer matter. Call at intervals.
  void Sweep(time_point now);

  // Whether TakeReports() or TakeView() have something to do, now or later.
  bool NeedsRounds() const;

  // Returns a new view if the verdicts or the rank of this instance have
  // changed since the last call. `rank` is the number of live instances that
  // precede this one.
  std::unique_ptr<const suspect_view> TakeView(std::size_t rank);

  // A change of a verdict, for the log: on `parts` parts that share their ends,
  // one of which is `part`.
  struct verdict {
    std::uint64_t part = 0;
    std::size_t parts = 0;
    bool blocked = false;
    std::size_t crashes = 0;
    std::size_t calls = 0;
  };
  // Returns the changes of verdicts since the last call.
  std::vector<verdict> TakeVerdicts();

  // Changes whenever Evidence() has other parts, or other ends under them.
  std::uint64_t stored_version() const { return stored_version_; }
  std::size_t size() const { return suspects_.size(); }
  std::size_t blocked() const;

 private:
  // The ends under parts that were in the same calls.
  struct history {
    // Sorted by time.
    std::vector<crash_record> crashes;
    // The upstreams that ended one after the other, and the calls involved.
    std::size_t ended = 0;
    std::size_t calls = 0;
    bool blocked = false;
    // Latest trial, here or at another instance, or the minimum.
    time_point tried_at = time_point::min();
    std::shared_ptr<std::atomic<bool>> trial_taken;
  };
  struct suspect {
    // Null if there was no end since the latest answer.
    std::shared_ptr<history> ends;
    // Latest answer, or the minimum if there was none.
    time_point answered_at = time_point::min();
    // Place among the parts with as much evidence in the order of reports.
    std::uint64_t order = 0;
    int reports_left = 0;
    // Whether the other instances are told of the latest answer.
    bool answer_shared = true;

    bool blocked() const { return ends != nullptr && ends->blocked; }
    std::size_t Crashes() const {
      return ends == nullptr ? 0 : ends->crashes.size();
    }
    std::size_t Ended() const { return ends == nullptr ? 0 : ends->ended; }
  };
  using suspect_map = std::unordered_map<std::uint64_t, suspect>;
  using entry = suspect_map::value_type;

  // Number of times that a report of an own observation is sent, since
  // datagrams may be lost, and that one of another instance is passed on.
  static constexpr int kReportCopies = 3;
  static constexpr int kForwardedCopies = 1;
  // Time after which the end of an upstream no longer counts, except under a
  // part that is blocked. Answers are remembered as long, so that an instance
  // that knows of one tells those that add up the ends before it.
  static constexpr duration kEvidenceLifetime = std::chrono::hours(1);
  // Ages in reports lack the delay of the report. An answer, or a trial, that
  // is later by less than this is taken for one that is known. Trials are
  // passed on, and at least kTrialStagger apart.
  static constexpr duration kReportJitter = std::chrono::milliseconds(100);
  static constexpr duration kTrialJitter = kTrialStagger / 2;
  // Bounds the memory. More than the upstreams of a large fleet.
  static constexpr std::size_t kMaxEnds = 4096;
  // Bound the size of what is stored, to about half a megabyte.
  static constexpr std::size_t kMaxStoredParts = 8192;
  static constexpr std::size_t kMaxStoredCrashes = 4096;
  static constexpr std::size_t kMaxStoredEnds = 1024;

  // Changes the histories of parts together: those of a history that was
  // common to them have a common one again. Defined in crash_suspects.cc.
  class regrouping;

  // Adds a crash under parts where it is neither known nor older than the
  // latest answer. It is reported `copies` times.
  void AddCrash(std::span<const std::uint64_t> parts,
                crash_record crash,
                int copies);
  // Notes that an upstream ended. Returns when, as first reported.
  time_point NoteEnd(std::uint64_t upstream_hash, time_point at);
  // Returns whether the answer came after a crash that had been known.
  static bool SetAnswered(std::uint64_t part,
                          suspect& known,
                          time_point at,
                          regrouping& changes);
  void SetTried(history& ends, time_point at);
  // Returns whether the report tells of a trial that was not known.
  bool TakeTrialTime(const suspect_report& report,
                     suspect& known,
                     time_point now);
  // Draws the conclusion from ends that have changed.
  void UpdateVerdict(history& ends) const;
  // Notes that the ends or the trials of parts have changed.
  void NoteChange() {
    changed_ = true;
    ++stored_version_;
  }
  // Whether a considerable share of the upstreams that ended while the latest
  // crashes of a part occurred ended under it. Otherwise the crashes have
  // another cause, which finds popular parts at many upstreams. Not a majority,
  // since two parts may crash upstreams at the same time.
  bool ExplainsCrashes(std::span<const crash_record> crashes) const;
  // Whether a report counts enough ends before the latest answer to block the
  // part soon, as its sender doesn't know of the answer.
  static bool LacksAnswer(const suspect_report& report,
                          const suspect& known,
                          time_point now);
  // Passes on what another instance has reported.
  static void Forward(suspect& known) {
    known.reports_left = std::max(known.reports_left, kForwardedCopies);
  }
  // Returns the groups of the blocked parts. `rank` as in TakeView().
  std::vector<blocked_group> BlockedGroups(std::size_t rank);
  // Makes room if there are too many suspects. Those with the least evidence
  // go first, and of these the parts of the longest prompts, so that one caller
  // can't displace the parts of many others.
  void Evict();
  // What is known of the first `entries` of some parts.
  struct suspect_message {
    std::vector<suspect_report> reports;
    std::size_t entries = 0;
  };
  // Returns a message about as many of the parts as fit, in this order.
  template <typename Entry>
  static suspect_message MakeMessage(std::span<Entry* const> entries,
                                     time_point now);
  static suspect_report MakeReport(std::uint64_t part,
                                   const suspect& known,
                                   time_point now);
  static time_point TrialTime(const history& ends);

  suspect_map suspects_;
  // When each upstream ended, by its hash, whatever the parts of its calls.
  std::map<std::uint64_t, time_point> ended_;
  std::vector<verdict> verdicts_;
  std::uint64_t next_order_ = 0;
  bool changed_ = false;
  std::uint64_t stored_version_ = 0;
  std::size_t viewed_rank_ = 0;
};

}  // namespace anvilloom

#endif  // LINKS_CRASH_SUSPECTS_H_
