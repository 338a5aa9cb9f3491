// Defines lease_runner, which acquires and renews a lease in an object store
// with lease_holder and lease_observer, also when the store comes back from an
// older copy.
#ifndef ENTRY_LEASE_RUNNER_H_
#define ENTRY_LEASE_RUNNER_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/time.h"
#include "instances/lease.h"
#include "instances/store_era.h"
#include "wire/lease_json.h"
#include "wire/object_store.h"

namespace anvilloom {

// Kind of the lease objects in the object API.
inline constexpr std::string_view kLeaseKind = "leases";

// The result of one step of a lease_runner.
enum class lease_step_result : std::uint8_t {
  kHeld,
  kHeldByOther,
  kWritePending,  // A write may still take effect; the next step resolves it.
  kUnavailable,   // The object store did not respond.
  kUnreadable,    // The stored object is not a valid lease; it is not changed.
};

// Runs one step at a time. Not thread-safe.
//
// In a new era of the store, the lease object may be gone or be one of before.
// A holder stops acting as soon as it knows of the era, and takes the lease
// anew if its time to act is not over: nobody else can have taken it since,
// because the others wait for a whole period after their first read in that
// era. They do so also if the object is missing. A write that was begun in one
// era and took effect in a later one makes nobody the holder, since its
// condition may have held by chance.
template <object_store Store, clock_source Clock>
class lease_runner {
 public:
  // `holder` must be unique to this run of the process, since it identifies a
  // write whose response was lost. `era` is that of the store, null if it tells
  // none. The store, the clock and the era must outlive the runner.
  lease_runner(Store& store,
               const Clock& clock,
               std::string_view name,
               std::string_view holder,
               const lease_timing& terms,
               const store_era* era = nullptr)
      : store_(store),
        clock_(clock),
        name_(name),
        identity_(holder),
        terms_(terms),
        era_(era),
        holder_(terms) {}

  // Renews the lease if the renewal is due, or tries to acquire it.
  awaitable<lease_step_result> Step() {
    if (pending_) {
      co_return co_await ResolvePendingWrite();
    }
    if (holder_.version() == 0 || IsFromEarlierEra()) {
      co_return co_await TryAcquire();
    }
    if (!holder_.renewal_due().Expired(clock_.Now())) {
      co_return lease_step_result::kHeld;
    }
    StartWrite(holder_.Renewal(), holder_.version());
    co_return co_await Write();
  }

  // Whether this process may act as the lease holder now, by its own clock.
  bool MayAct() const {
    return holder_.MayAct(clock_.Now()) && !IsFromEarlierEra();
  }
  // The fencing number, 0 while this process may not act, and since when no
  // other process has acted.
  lease_tenure Tenure() const {
    return MayAct() ? lease_tenure{holder_.fencing(), sole_since_}
                    : lease_tenure{};
  }
  // Another instance has held the lease with this fencing number.
  void NoteFencing(std::uint64_t fencing) {
    heard_fencing_ = std::max(heard_fencing_, fencing);
  }
  deadline act_by() const { return holder_.act_by(); }
  // The fencing number of the lease held last.
  std::uint64_t fencing() const { return holder_.fencing(); }
  // The lease as last read or written.
  const std::optional<lease_record>& seen() const { return seen_; }

 private:
  // Timeout of one call to the object API, which normally responds within
  // milliseconds.
  static constexpr duration kStoreCallTimeout = std::chrono::seconds(1);

  // A write whose outcome is unknown.
  struct pending_write {
    lease_record record;
    // Version that the write replaces; 0 if it creates the lease.
    std::uint64_t expected_version = 0;
    // Era of the store when the write was begun.
    std::uint64_t era = 0;
    // Since when no other process has acted, if the write takes effect.
    time_point sole_since;
    // Whether it must be sent again, because the stored version is unchanged.
    bool resend = false;
  };

  deadline CallDeadline() const {
    return deadline::After(clock_.Now(), kStoreCallTimeout);
  }

  void StartWrite(lease_record record, std::uint64_t expected_version) {
    const time_point now = clock_.Now();
    // A renewal replaces the version that this process has written. A takeover
    // is one from another process unless this one may resume.
    const bool continues =
        holder_.version() != 0 && (!IsFromEarlierEra() || MayResume());
    holder_.BeginWrite(now);
    pending_ = pending_write{std::move(record), expected_version, SeenEra(),
                             continues ? sole_since_ : now, false};
  }

  std::uint64_t SeenEra() const { return era_ == nullptr ? 0 : era_->seen(); }
  // Whether the lease was held in an earlier era than the newest one known.
  bool IsFromEarlierEra() const {
    return era_ != nullptr && EraOf(holder_.version()) < era_->newest();
  }
  // Whether this process held the lease when the store came back from a copy,
  // so that it may take it at once.
  bool MayResume() const {
    return holder_.version() != 0 && !holder_.act_by().Expired(clock_.Now());
  }
  // Whether the lease, as observed, may be taken over.
  bool MayTakeOver() const {
    const time_point now = clock_.Now();
    return MayResume() ||
           (observer_.Expired(now) &&
            (SeenEra() == 0 || holder_.return_at().Expired(now)));
  }
  // The highest fencing number that may have been used before a takeover from
  // the lease object of `version`, 0 if there is none. In a store that tells
  // its era it is at least that version: numbers of earlier eras are lower,
  // also those whose records were lost, and two writes of one era never replace
  // the same revision, whatever number the object holds.
  std::uint64_t UsedFencing(std::uint64_t version) const {
    return std::max(
        {heard_fencing_, holder_.fencing(),
         SeenEra() == 0 ? 0 : MakeVersion(SeenEra(), RevisionOf(version))});
  }

  awaitable<lease_step_result> TryAcquire() {
    const auto read = co_await store_.Get(kLeaseKind, name_, CallDeadline());
    if (!read) {
      if (read.error() != store_error::kNotFound) {
        co_return lease_step_result::kUnavailable;
      }
      // A lease that a copy of the store lacks may have been held until now.
      observer_.Observe(MakeVersion(SeenEra(), 0), terms_.period, clock_.Now());
      if (SeenEra() != 0 && !MayTakeOver()) {
        co_return lease_step_result::kHeldByOther;
      }
      // Continues the fencing numbers of the deleted lease.
      StartWrite(TakeOver(seen_, identity_, terms_, UsedFencing(0)), 0);
      co_return co_await Write();
    }
    if (holder_.version() != 0 &&
        EraOf(holder_.version()) == EraOf(read->version)) {
      // Another instance has seen an era that this one has not.
      co_return lease_step_result::kUnavailable;
    }
    const auto record = DecodeLease(read->value);
    if (!record) {
      co_return lease_step_result::kUnreadable;
    }
    seen_ = record;
    observer_.Observe(read->version, *record, clock_.Now());
    if (!MayTakeOver()) {
      holder_.MarkLost();
      co_return lease_step_result::kHeldByOther;
    }
    StartWrite(TakeOver(record, identity_, terms_, UsedFencing(read->version)),
               read->version);
    co_return co_await Write();
  }

  awaitable<lease_step_result> Write() {
    pending_->resend = false;
    const std::string text = EncodeLease(pending_->record);
    store_result<std::uint64_t> result = store_error::kAmbiguous;
    if (pending_->expected_version == 0) {
      result = co_await store_.Create(kLeaseKind, name_, text, CallDeadline());
    } else {
      result = co_await store_.Update(
          kLeaseKind, name_, pending_->expected_version, text, CallDeadline());
    }
    if (result && (SeenEra() == 0 || EraOf(*result) == pending_->era)) {
      co_return CompleteWrite(*result);
    }
    // A conflict may be caused by an earlier attempt of the same write.
    co_return co_await ResolvePendingWrite();
  }

  // Reads the lease to find out whether the pending write took effect. A
  // repeated write keeps its record and the time of its first attempt: the
  // first copy may be the one that observers have seen.
  awaitable<lease_step_result> ResolvePendingWrite() {
    if (pending_->resend && SeenEra() == pending_->era) {
      co_return co_await Write();
    }
    const auto read = co_await store_.Get(kLeaseKind, name_, CallDeadline());
    if (!read && read.error() != store_error::kNotFound) {
      co_return lease_step_result::kUnavailable;
    }
    const std::uint64_t version = read ? read->version : 0;
    if (SeenEra() != pending_->era) {
      pending_.reset();
      co_return co_await TryAcquire();
    }
    if (version == pending_->expected_version) {
      pending_->resend = true;
      co_return lease_step_result::kWritePending;
    }
    const auto record = read ? DecodeLease(read->value) : std::nullopt;
    if (record == pending_->record) {
      co_return CompleteWrite(version);
    }
    pending_.reset();
    holder_.MarkLost();
    if (record) {
      seen_ = record;
      observer_.Observe(version, *record, clock_.Now());
    }
    co_return read && !record ? lease_step_result::kUnreadable
                              : lease_step_result::kHeldByOther;
  }

  lease_step_result CompleteWrite(std::uint64_t version) {
    seen_ = pending_->record;
    sole_since_ = pending_->sole_since;
    holder_.WriteSucceeded(version, pending_->record);
    pending_.reset();
    return lease_step_result::kHeld;
  }

  Store& store_;
  const Clock& clock_;
  std::string name_;
  std::string identity_;
  lease_timing terms_;
  const store_era* era_;
  std::uint64_t heard_fencing_ = 0;
  lease_holder holder_;
  lease_observer observer_;
  time_point sole_since_ = time_point::max();
  std::optional<lease_record> seen_;
  std::optional<pending_write> pending_;
};

}  // namespace anvilloom

#endif  // ENTRY_LEASE_RUNNER_H_
