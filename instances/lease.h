// Defines the lease protocol: lease_record, the stored object; lease_holder,
// which ensures that only one process acts at a time; and lease_observer, which
// determines when another process may take over. Holder and observer use only
// their own monotonic clocks. None of the types is thread-safe.
#ifndef INSTANCES_LEASE_H_
#define INSTANCES_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"

namespace anvilloom {

// The stored object. Every takeover increments the fencing number. Every
// renewal increments the renewal count, which changes the object and so shows
// observers that the holder is active.
struct lease_record {
  std::string holder;
  std::uint64_t fencing = 0;
  std::uint64_t renewals = 0;
  // Time without a change after which another process may take over, in
  // microseconds of the observer's clock.
  duration period{0};

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

// Timing of a lease, in microseconds.
struct lease_timing {
  duration period = std::chrono::seconds(15);
  // Time between renewals. Several fit into one period, so that a lost renewal
  // does not lose the lease.
  duration renew_interval = std::chrono::seconds(4);
  // The holder stops acting this long before an observer could take over, to
  // allow for clock rate differences and for orders in flight.
  duration stop_margin = std::chrono::seconds(3);
  // After a process has stopped acting, it does not take over from another one
  // or from a lost lease for this time, so that two holders never act in turns
  // within it. Only where the store tells its era: a store that comes back from
  // a copy may undo a takeover.
  duration return_delay{0};
};

// What a process may do under a lease now.
struct lease_tenure {
  // 0 while it may not act.
  std::uint64_t fencing = 0;
  // Since when no other process has acted under the lease.
  time_point since = time_point::max();
};

// Returns the record that takes over from `current`, or that creates the lease
// if there is none, with a fencing number above that of `current` and above
// `used`. The write must be conditional on the version at which `current` was
// read.
lease_record TakeOver(const std::optional<lease_record>& current,
                      std::string_view holder,
                      const lease_timing& timing,
                      std::uint64_t used = 0);

// Detects the expiry of a lease from the absence of changes.
class lease_observer {
 public:
  // Records a read of the lease. `now` is the time of the answer.
  void Observe(std::uint64_t version,
               const lease_record& record,
               time_point now) {
    Observe(version, record.period, now);
  }
  // The same for a lease that does not exist, which counts as one of `version`
  // and `period`.
  void Observe(std::uint64_t version, duration period, time_point now);
  // Whether the lease has not changed for its period.
  bool Expired(time_point now) const;
  std::uint64_t version() const { return version_; }

 private:
  std::uint64_t version_ = 0;
  deadline expires_ = deadline::Never();
};

// Holds a lease from a successful write until a deadline on the holder's clock.
class lease_holder {
 public:
  explicit lease_holder(const lease_timing& timing) : terms_(timing) {}

  // Call before a write that takes or renews the lease. The deadline is
  // computed from this time, since observers see the write only later.
  void BeginWrite(time_point now) { write_started_at_ = now; }
  // Records that the write took effect.
  void WriteSucceeded(std::uint64_t version, const lease_record& record);
  // Records that the write had no effect or that another process took over.
  void MarkLost() { version_ = 0; }

  // Whether the holder may act now. Every order must carry fencing().
  bool MayAct(time_point now) const;
  // Time at which the next renewal is due.
  deadline renewal_due() const;
  // Time until which the holder may act.
  deadline act_by() const { return act_by_; }
  // Time from which on it may take over from another holder.
  deadline return_at() const {
    return deadline(act_by_.at() + terms_.return_delay);
  }
  std::uint64_t fencing() const { return record_.fencing; }
  std::uint64_t version() const { return version_; }
  // Returns the record of the next renewal. The write must be conditional on
  // version().
  lease_record Renewal() const;

 private:
  lease_timing terms_;
  lease_record record_;
  // 0 while the lease is not held.
  std::uint64_t version_ = 0;
  time_point write_started_at_;
  deadline act_by_ = deadline(time_point::min());
  deadline renewal_due_ = deadline(time_point::min());
};

}  // namespace anvilloom

#endif  // INSTANCES_LEASE_H_
