// Defines rollout_course, which decides on the next step of a rollout, and
// rollout_members, which tells whether an instance may still send calls to the
// old version.
#ifndef INSTANCES_ROLLOUT_COURSE_H_
#define INSTANCES_ROLLOUT_COURSE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "instances/rollout_record.h"

namespace anvilloom {

// Times of a rollout, in microseconds.
struct rollout_timing {
  // From the 50th bad answer until no instance sends calls to the version.
  duration revert = std::chrono::seconds(5);

  // An instance that has not confirmed the order for so long sends no call to
  // an unproven version. The rest of the time covers the reports of the bad
  // answers and the replacement of a holder of the duties.
  duration confirmation_lifetime() const { return revert * 2 / 5; }
  // For how long a message may be under way. A process that has not run for
  // longer takes what it finds unread for old.
  duration delivery() const { return revert / 5; }
  // An instance that is out of touch has stopped sending calls to the old
  // version this long after the step that forbids it.
  duration silent_after() const { return confirmation_lifetime() + delivery(); }
};

// What the holder of the duties knows of a rollout.
struct rollout_situation {
  // Time of day in milliseconds since 1970.
  std::uint64_t now_ms = 0;
  bool is_bad = false;
  // Whether an upstream of the new version is announced.
  bool has_new = false;
  std::uint64_t new_calls = 0;
  std::uint64_t new_failures = 0;
  std::uint64_t old_calls = 0;
  // Whether this instance hears enough of the others to know what their calls
  // have shown.
  bool hears_others = true;
  // Whether no instance has calls at the old version or may send one there.
  bool old_unused = false;
};

// Whether so much of the time limit has passed that no step may wait for more
// than it has to.
bool IsLate(const rollout_record& record, std::uint64_t now_ms);

// Returns the step to take now, or nothing. A step back does not exist: after a
// revert and after the completion there is no next step.
std::optional<rollout_step> NextRolloutStep(const rollout_record& record,
                                            const rollout_situation& situation);

// When calls of an instance that is silent have left the old version.
struct silence_bound {
  // When nobody was allowed any more to send calls there, except by what this
  // instance allows itself.
  time_point closed_at;
  // From then on: how long an instance that is out of touch may send.
  duration sends{0};
  // How long a call may take.
  duration longest_call{0};
  // Whether the time that is left of the order allows no further waiting.
  bool is_late = false;
};

// What each of the other instances has said of its calls to the old version.
// Not thread-safe.
class rollout_members {
 public:
  // Takes a sign of life of an instance, or its name from a list, which is none
  // (`heard` is false). A new run of its process has said nothing yet.
  void Expect(std::string_view name,
              std::uint64_t epoch,
              bool heard,
              time_point now);
  // Takes what an instance says: the step that it has applied and the calls
  // that it still has at the old version.
  void Take(std::string_view name,
            std::uint64_t epoch,
            std::uint64_t started_ms,
            rollout_step step,
            std::uint32_t old_running,
            time_point now);
  // Whether every instance has applied kMoved and has no calls at the old
  // version, or is silent and its calls have ended by `bound`. If most are
  // silent, they may be in touch with each other and take this one for lost, so
  // no bound applies.
  bool IsOldUnused(std::uint64_t started_ms,
                   const silence_bound& bound,
                   time_point now) const;
  // Whether enough other instances have been heard within `age`. A domain or
  // two may have been lost, so a quarter suffices.
  bool HearsOthers(duration age, time_point now) const;
  // The latest time at which this instance was in touch with most of the
  // instances, itself included.
  time_point HeardMostAt(time_point now) const;
  // Forgets the instances that are gone.
  void Forget(time_point now);

 private:
  // An instance that has been silent for so long is gone. Twice as long as any
  // partition in the user requirements.
  static constexpr duration kGoneAfter = std::chrono::seconds(60);
  // One that has not said that it knows the order is waited for at least for as
  // long as a partition may last.
  static constexpr duration kLongestPartition = std::chrono::seconds(30);

  struct member {
    std::uint64_t epoch = 0;
    std::uint64_t started_ms = 0;
    rollout_step step = rollout_step::kObserving;
    std::uint32_t old_running = 0;
    bool heard = false;
    // When it was heard, or became known.
    time_point heard_at;
  };

  member& Find(std::string_view name, std::uint64_t epoch, time_point now);

  std::map<std::string, member, std::less<>> members_;
};

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_COURSE_H_
