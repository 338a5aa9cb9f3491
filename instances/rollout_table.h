// Defines rollout_table, the rollouts as known to one instance. It decides what
// the calls of the instance may be sent to, and for the holder of the duties
// which steps to store.
#ifndef INSTANCES_ROLLOUT_TABLE_H_
#define INSTANCES_ROLLOUT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/time.h"
#include "instances/rollout_course.h"
#include "instances/rollout_exposure.h"
#include "instances/rollout_record.h"
#include "instances/rollout_report.h"
#include "instances/rollout_verdict.h"
#include "instances/rollout_work.h"

namespace anvilloom {

// An order as it is stored, with the record that its status holds. The status
// may be of an earlier order of the service.
struct stored_rollout {
  rollout_order order;
  std::optional<rollout_record> status;
  std::uint64_t revision = 0;
};

// What a table looks up in the state of its instance.
struct rollout_lookups {
  // Whether an upstream of the new version is announced.
  std::function<bool(const rollout_order&)> has_new;
  // Calls of this instance that run, or may be sent, to other versions of the
  // service. Calls begin with the view as it is when this is called.
  std::function<std::uint32_t(const rollout_order&)> old_calls;
  // The longest time that a call to the service may take.
  std::function<duration(const rollout_order&)> longest_call;
};

// Not thread-safe, except for the view and what it refers to. The view has to
// be published before each call of Reports() and DueWrites().
class rollout_table {
 public:
  // A record that the holder of the duties has to store.
  struct write {
    rollout_record record;
    std::uint64_t revision = 0;
  };

  rollout_table(std::string_view own_name,
                const exposure_bound& bound,
                const rollout_timing& timing,
                std::uint64_t seed,
                rollout_lookups lookups)
      : own_name_(own_name),
        bound_(bound),
        timing_(timing),
        seed_(seed),
        lookups_(std::move(lookups)) {}

  // Takes all stored orders, read at `read_at`. An order that is missing was
  // deleted; one without a record has not begun.
  void TakeStored(std::span<const stored_rollout> stored, time_point read_at);
  // Takes the versions that had been announced before all orders were read. No
  // others are called: engines of a version that is ordered start after the
  // order, which may not have been heard of.
  void Settle(settled_versions versions);
  const settled_versions& settled() const { return settled_; }
  // Takes what another instance knows. Returns whether that is worth passing
  // on.
  bool Take(std::string_view sender,
            std::uint64_t sender_epoch,
            const rollout_report& report,
            time_point now);
  // Notes a message of another instance, which is expected to say that it has
  // left the old version. If `heard` is false, the instance is only known from
  // a list.
  void ExpectMember(std::string_view name,
                    std::uint64_t epoch,
                    bool heard,
                    time_point now);
  // Sets the interval at which each instance sends to all others.
  void SetReportInterval(duration interval) { report_interval_ = interval; }

  // Updates the verdicts, and until when calls may go to the old version. Call
  // several times a second.
  void Judge(time_point now, std::uint64_t now_ms);
  // Records that this instance holds the duties under this fencing number, so
  // that its records are those that are stored.
  void ConfirmAsHolder(std::uint64_t fencing, time_point now);
  // Whether another instance may know a later status of an order than the one
  // that was read, since the store may have lost it. Until then no step of the
  // order is due, and no call is exposed.
  bool AwaitsStatus(time_point now) const;
  // Returns the records to store, for the holder of the duties.
  std::vector<write> DueWrites(time_point now, std::uint64_t now_ms);
  // Takes a record that was stored with the given revision.
  void HandleStored(const rollout_record& record,
                    std::uint64_t revision,
                    time_point now);

  // What to tell other instances, with or without the evidence.
  std::vector<rollout_report> Reports(time_point now, bool evidence) const;
  bool HasUnfinished() const;
  // Whether an unfinished order has not been confirmed for `age`.
  bool IsUnconfirmedFor(duration age, time_point now) const;
  // Until when this instance would have heard of an order, as far as it is in
  // touch with the others.
  time_point InTouchUntil(time_point now) const;

  std::shared_ptr<const rollout_view> View() const { return view_; }
  // Increases with each change of the view.
  std::uint64_t view_version() const { return view_version_; }
  const rollout_record* Find(std::string_view service) const;
  // Why the version of a service was found bad; empty if it was not.
  std::string_view CauseOf(std::string_view service) const;
  const rollout_verdict* VerdictOf(std::string_view service) const;

 private:
  struct known_rollout {
    rollout_record record;
    // Revision of the stored object; 0 if it was not read from the store.
    std::uint64_t revision = 0;
    bool deleted = false;
    // Whether the stored status is older than the record, because a response or
    // the status itself was lost.
    bool is_behind = false;
    // Whether the record is stored; false for an order that has not begun.
    bool begun = false;
    // Whether the record is as it was read from the store, neither written by
    // this instance nor told by another one.
    bool is_read = false;
    std::optional<time_point> confirmed_at;
    // When this instance learnt of the step.
    time_point step_seen_at = time_point::min();
    bool is_bad = false;
    time_point bad_since = time_point::max();
    std::string_view cause;
    std::shared_ptr<rollout_work> work;
    rollout_tally tally;
    rollout_verdict total;
    rollout_verdict own;
    rollout_members members;
  };

  // The delays of the first calls are ignored for this part of the time limit,
  // but at most for kMaxWarmUp: new engines have no caches yet.
  static constexpr std::int64_t kWarmUpDivisor = 5;
  static constexpr duration kMaxWarmUp = std::chrono::seconds(3);

  bool AwaitsStatus(const known_rollout& known, time_point now) const;
  known_rollout& Begin(const rollout_record& record, time_point now);
  known_rollout& Adopt(const rollout_record& record, time_point now);
  void Confirm(known_rollout& known, time_point at) const;
  void MarkBad(known_rollout& known, std::string_view cause, time_point now);
  void ExtendOld(time_point now);
  // Notes that the process runs. After a pause, the messages that it finds
  // unread are old: they confirm nothing.
  void NoteActive(time_point now);
  bool HasJustResumed(time_point now) const {
    return now < resumed_at_ + timing_.delivery();
  }
  rollout_situation SituationOf(const known_rollout& known,
                                time_point now,
                                std::uint64_t now_ms) const;
  rollout_step EffectiveStep(const known_rollout& known) const;
  // Publishes a new view.
  void Rebuild();
  std::string Source(std::string_view name, std::uint64_t epoch) const;

  std::string own_name_;
  exposure_bound bound_;
  rollout_timing timing_;
  std::uint64_t seed_;
  rollout_lookups lookups_;
  // The other instances.
  rollout_members others_;
  duration report_interval_{0};
  time_point active_at_ = time_point::min();
  time_point resumed_at_ = time_point::min();
  // Since when this instance holds the duties under the number.
  std::uint64_t fencing_ = 0;
  time_point holder_since_ = time_point::min();
  settled_versions settled_;
  std::map<std::string, known_rollout, std::less<>> known_;
  std::shared_ptr<const rollout_view> view_ =
      std::make_shared<const rollout_view>();
  std::uint64_t view_version_ = 0;
};

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_TABLE_H_
