// Defines store_gossip, which decides what an instance tells others of the
// store, when it reads the store itself, and as of when its view is confirmed.
#ifndef INSTANCES_STORE_GOSSIP_H_
#define INSTANCES_STORE_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "common/random.h"
#include "common/time.h"
#include "instances/store_news.h"
#include "instances/upstream_log.h"

namespace anvilloom {

// News spread as a rumour: each instance passes what is new to it on to a few
// others, drawn anew each time. The time until all know grows with the
// logarithm of their number, each sends a constant number of messages for a
// change, and no single instance's loss, pause or slow link keeps others from
// knowing. An instance that news miss sees a gap in the next ones, or that its
// view has not been confirmed for too long, and fetches what it lacks or reads
// the store.
//
// One instance at a time reads the store to confirm the view of all. The others
// read it only if that fails, at times drawn so that a few of them do first.
//
// Revisions are versions of store_era.h, which order by the store's era first.
// What was known of an earlier era is not confirmed in a later one: an instance
// enters the era only with a list of all entries, which it has read itself or
// got from another instance, and confirms its view anew. News from instances
// that have not entered it say nothing of the upstreams.
//
// Times are those of a clock that goes on while the machine is suspended. Not
// thread-safe.
class store_gossip {
 public:
  // `apply_time` is the time within which a change must take effect on every
  // instance.
  store_gossip(duration apply_time, std::uint64_t seed)
      : apply_time_(apply_time), random_(seed) {}

  // Number of instances to which news are passed on at once, for a fleet of
  // `members`. All but a share of about e^-fanout of the instances learn of
  // news by their first spread.
  static std::size_t Fanout(std::size_t members);

  // --- What this instance learns from the store ---

  // The store has answered a watch: `changes` are all changes of the upstreams'
  // entries with revisions above `from`, up to `through`.
  void RecordWatch(std::uint64_t from,
                   std::uint64_t through,
                   std::span<const upstream_change> changes,
                   time_point now);
  // The store has listed the upstreams; `changes` are those that were new. The
  // list has all changes up to revision `through`, and may have some up to
  // `read_until`, since long lists are read in several pages.
  void RecordList(std::uint64_t through,
                  std::uint64_t read_until,
                  std::span<const upstream_change> changes,
                  time_point now);
  // Another instance has reported a change, without saying up to which revision
  // it knows all.
  void RecordChange(const upstream_change& change, time_point now);
  // A manifest of this version has taken effect, from whatever source.
  void RecordManifest(std::uint64_t version, time_point now);
  // The manifest and the upstreams were read by calls that began at `asked_at`
  // or later, and the results recorded.
  void RecordRead(time_point asked_at, time_point now);
  // A read of the store by one of `members` instances failed.
  void RecordFailedRead(std::size_t members, time_point now);

  // --- What it learns from others ---

  // What the news require: to fetch what this instance lacks, or to ask their
  // sender until when its view is confirmed. How long the news were under way
  // is not known, but an answer is not older than its question.
  enum class next_action : std::uint8_t { kNone, kFetch, kAsk };
  // Takes news; `new_changes` are those of its changes that were new to this
  // instance.
  next_action Take(const store_news& news,
                   std::span<const upstream_change> new_changes,
                   time_point now);
  // Another instance has a manifest of this version.
  void NoteManifest(std::uint64_t version, time_point now);

  // --- What it does ---

  // Returns the news to pass on now, if there are any. They don't have a fetch
  // address.
  std::optional<store_news> TakeNews(time_point now);
  // When TakeNews() returns news that it held back because others were sent
  // shortly before; never if there are none.
  deadline NextTell() const { return HasNews() ? tell_at_ : deadline::Never(); }
  // Returns what an instance lacks that knows the store up to revision `after`.
  store_news NewsAfter(std::uint64_t after, time_point now) const;
  // Returns the answer to an instance that asked at `asked_at`, by its clock,
  // until when this view is confirmed. It holds no changes, of which this
  // instance may know many without all before them.
  store_news AnswerTo(time_point asked_at, time_point now) const;

  // Whether this instance must read the store now. `watches` says whether it
  // watches the store and, if so, `position` how many others do that come
  // first.
  struct reader {
    bool watches = false;
    std::size_t position = 0;
    // Number of instances.
    std::size_t members = 1;
  };
  bool MustRead(const reader& self, time_point now) {
    return NextRead(self, now).Expired(now);
  }
  // When it must do so if it hears nothing more.
  deadline NextRead(const reader& self, time_point now);

  // --- What it knows ---

  std::uint64_t through() const { return through_; }
  // The newest version of the manifest that is known to exist.
  std::uint64_t newest_manifest() const { return newest_manifest_; }
  // When the store held nothing that this view lacks; unset before the first
  // confirmation.
  std::optional<time_point> confirmed_at() const { return confirmed_at_; }
  // Whether another instance has a newer manifest.
  bool IsManifestOutdated() const {
    return manifest_version_ < newest_manifest_;
  }
  // Until when the manifest may be taken for one that is in force; past if it
  // is known not to be.
  deadline ManifestValidUntil() const;

  // How often the view is confirmed if nothing fails.
  duration confirm_interval() const { return apply_time_ / 4; }
  // Shortest time between two spreads of news, which bounds their rate while
  // many upstreams join or leave.
  duration tell_interval() const { return apply_time_ / 20; }
  // Time limit of a call to another instance.
  duration fetch_timeout() const { return apply_time_ / 8; }
  // Time limit of a read of the store.
  duration read_timeout() const { return apply_time_ / 2; }

 private:
  // Questions in a tell interval: one more than needed, since it may get lost.
  static constexpr int kQuestions = 2;
  // Bytes of changes in one message, so that it fits into one packet: if one
  // fragment of a larger datagram is lost, all of it is.
  static constexpr std::size_t kMaxChangeBytes = 1100;
  // Removals are remembered for longer than an instance that still has its view
  // may hear nothing. An older view is replaced as a whole.
  static constexpr duration kRemovalMemory = std::chrono::minutes(5);
  // Average time between two attempts of any of the instances to read a store
  // that doesn't answer.
  static constexpr duration kProbeInterval = std::chrono::milliseconds(100);

  void Record(std::span<const upstream_change> changes,
              std::uint64_t through,
              time_point now);
  // The view contains all changes up to this revision from now on.
  void AdvanceTo(std::uint64_t through);
  // Whether there is something to pass on.
  bool HasNews() const;
  // Begins a later era of the store, if `version` is of one: no view has been
  // confirmed in it.
  void EnterEra(std::uint64_t version, time_point now);
  void Confirm(time_point at);
  // Whether to ask an instance whose view seems to be confirmed until
  // `claimed`.
  bool MayAsk(time_point claimed, time_point now);
  // Notes what another instance has.
  void NoteNewest(std::uint64_t manifest_version,
                  std::uint64_t through,
                  time_point now);
  // Notes since when this instance has known that it lacks something.
  void UpdateLag(time_point now);
  bool Lags() const {
    return IsManifestOutdated() || through_ < newest_through_;
  }
  std::optional<duration> ConfirmedAge(time_point now) const;
  // A delay below `limit`, drawn such that the first of `members` instances
  // comes early and most come late.
  duration DrawDelay(duration limit, std::size_t members);

  duration apply_time_;
  split_mix random_;
  upstream_log log_;
  std::uint64_t through_ = 0;
  std::uint64_t manifest_version_ = 0;
  std::optional<time_point> confirmed_at_;
  // The most that other instances are known to have, when that became known,
  // and since when this one has less.
  std::uint64_t newest_manifest_ = 0;
  std::uint64_t newest_through_ = 0;
  time_point claimed_at_ = time_point::min();
  std::optional<time_point> lags_since_;

  // What was told last.
  std::uint64_t told_manifest_ = 0;
  bool untold_changes_ = false;
  std::optional<time_point> told_confirmed_at_;
  deadline tell_at_ = deadline(time_point::min());
  // Questions that may be asked until the next tell interval.
  int questions_left_ = 0;
  deadline more_questions_at_ = deadline(time_point::min());

  // When this instance reads the store if it hears nothing more; unset until it
  // is drawn.
  std::optional<deadline> read_at_;
  deadline retry_read_at_ = deadline(time_point::min());
  // When NextRead() was first called.
  std::optional<time_point> begun_at_;
};

}  // namespace anvilloom

#endif  // INSTANCES_STORE_GOSSIP_H_
