// Defines lease_runner, which drives lease_holder and lease_observer against
// an object store.
#ifndef ENTRY_LEASE_RUNNER_H_
#define ENTRY_LEASE_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/time.h"
#include "instances/lease.h"
#include "wire/lease_json.h"
#include "wire/object_store.h"

namespace anvilloom {

// Kind of the lease objects in the object API.
inline constexpr std::string_view kLeaseKind = "leases";

// What a step of the lease has found.
enum class lease_finding : std::uint8_t {
  kHeld,
  kHeldByOther,
  kUnsettled,    // A write may still take effect; the next step settles it.
  kUnavailable,  // The object store gave no answer.
  kUnreadable,   // The stored object is no lease; it is left as it is.
};

// Runs one step at a time. Not thread-safe.
template <object_store Store, clock_source Clock>
class lease_runner {
 public:
  // `holder` must be unique to this run of the process, since a write whose
  // answer was lost is recognized by it. The store and the clock must outlive
  // the runner.
  lease_runner(Store& store,
               const Clock& clock,
               std::string_view name,
               std::string_view holder,
               const lease_terms& terms)
      : store_(store),
        clock_(clock),
        name_(name),
        identity_(holder),
        terms_(terms),
        holder_(terms) {}

  // Renews the lease if that is due, or tries to take it.
  awaitable<lease_finding> Step() {
    if (pending_) {
      co_return co_await Settle();
    }
    if (holder_.version() == 0) {
      co_return co_await Contend();
    }
    if (!holder_.renew_at().Expired(clock_.Now())) {
      co_return lease_finding::kHeld;
    }
    Begin(holder_.Renewal(), holder_.version());
    co_return co_await Write();
  }

  // Whether this process may act now, by its own clock.
  bool MayAct() const { return holder_.MayAct(clock_.Now()); }
  deadline act_by() const { return holder_.act_by(); }
  // That of the lease held last.
  std::uint64_t fencing() const { return holder_.fencing(); }
  // The lease as it was read or written last.
  const std::optional<lease_record>& seen() const { return seen_; }

 private:
  // Longest wait for one call to the object API, which answers in milliseconds
  // when it is well.
  static constexpr duration kStoreCallLimit = std::chrono::seconds(1);

  // A write whose result is not known yet.
  struct pending_write {
    lease_record record;
    // Version that the write replaces; 0 to create the lease.
    std::uint64_t condition = 0;
    // Whether it must be sent again, because the version is unchanged.
    bool repeat = false;
  };

  deadline CallLimit() const {
    return deadline::After(clock_.Now(), kStoreCallLimit);
  }

  void Begin(lease_record record, std::uint64_t condition) {
    holder_.BeginWrite(clock_.Now());
    pending_ = pending_write{std::move(record), condition, false};
  }

  awaitable<lease_finding> Contend() {
    const auto read = co_await store_.Get(kLeaseKind, name_, CallLimit());
    if (!read) {
      if (read.error() != store_error::kNotFound) {
        co_return lease_finding::kUnavailable;
      }
      // Continues the fencing numbers of a lease that was deleted.
      Begin(TakeOver(seen_, identity_, terms_), 0);
      co_return co_await Write();
    }
    const auto record = DecodeLease(read->value);
    if (!record) {
      co_return lease_finding::kUnreadable;
    }
    seen_ = record;
    observer_.Observe(read->version, *record, clock_.Now());
    if (!observer_.Expired(clock_.Now())) {
      co_return lease_finding::kHeldByOther;
    }
    Begin(TakeOver(record, identity_, terms_), read->version);
    co_return co_await Write();
  }

  awaitable<lease_finding> Write() {
    pending_->repeat = false;
    const std::string text = EncodeLease(pending_->record);
    store_result<std::uint64_t> result = store_error::kAmbiguous;
    if (pending_->condition == 0) {
      result = co_await store_.Create(kLeaseKind, name_, text, CallLimit());
    } else {
      result = co_await store_.Update(kLeaseKind, name_, pending_->condition,
                                      text, CallLimit());
    }
    if (result) {
      co_return Held(*result);
    }
    // Even a conflict may come from an earlier copy of the same write.
    co_return co_await Settle();
  }

  // Finds out by reading whether the pending write took effect. A repeated
  // write keeps its record and the time at which it first began: the first
  // copy may be the one that observers have seen.
  awaitable<lease_finding> Settle() {
    if (pending_->repeat) {
      co_return co_await Write();
    }
    const auto read = co_await store_.Get(kLeaseKind, name_, CallLimit());
    if (!read && read.error() != store_error::kNotFound) {
      co_return lease_finding::kUnavailable;
    }
    const std::uint64_t version = read ? read->version : 0;
    if (version == pending_->condition) {
      pending_->repeat = true;
      co_return lease_finding::kUnsettled;
    }
    const auto record = read ? DecodeLease(read->value) : std::nullopt;
    if (record == pending_->record) {
      co_return Held(version);
    }
    pending_.reset();
    holder_.Lost();
    if (record) {
      seen_ = record;
      observer_.Observe(version, *record, clock_.Now());
    }
    co_return read && !record ? lease_finding::kUnreadable
                              : lease_finding::kHeldByOther;
  }

  lease_finding Held(std::uint64_t version) {
    seen_ = pending_->record;
    holder_.Written(version, pending_->record);
    pending_.reset();
    return lease_finding::kHeld;
  }

  Store& store_;
  const Clock& clock_;
  std::string name_;
  std::string identity_;
  lease_terms terms_;
  lease_holder holder_;
  lease_observer observer_;
  std::optional<lease_record> seen_;
  std::optional<pending_write> pending_;
};

}  // namespace anvilloom

#endif  // ENTRY_LEASE_RUNNER_H_
