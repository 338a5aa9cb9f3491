// Defines the lease protocol: lease_record, the stored object, lease_holder, by
// which one process acts alone, and lease_observer, which judges when another
// process may take over. Holder and observer use only their own monotonic
// clocks.
#ifndef INSTANCES_LEASE_H_
#define INSTANCES_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"

namespace anvilloom {

// The stored object. Every take-over raises the fencing number; every renewal
// raises the renewal count, which is what observers see as progress.
struct lease_record {
  std::string holder;
  std::uint64_t fencing = 0;
  std::uint64_t renewals = 0;
  // Time without a change after which another process may take over, in
  // microseconds on the observer's clock.
  duration period{0};

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

// Times of a lease, in microseconds.
struct lease_terms {
  duration period = std::chrono::seconds(15);
  // Between two renewals; a few fit into one period.
  duration renew_interval = std::chrono::seconds(4);
  // The holder stops this much before an observer could take over, to leave
  // room for clocks that run at different rates and for orders under way.
  duration stop_margin = std::chrono::seconds(3);
};

// The record that takes over from `current`, or creates the lease if there is
// none. Written on condition of the version that `current` was read at.
lease_record TakeOver(const std::optional<lease_record>& current,
                      std::string_view holder,
                      const lease_terms& terms);

// Judges expiry by watching for changes.
class lease_observer {
 public:
  // Takes in a read of the lease. `now` is the time at which it was answered.
  void Observe(std::uint64_t version,
               const lease_record& record,
               time_point now);
  // Whether nothing has changed for the lease's period.
  bool Expired(time_point now) const;
  std::uint64_t version() const { return version_; }

 private:
  std::uint64_t version_ = 0;
  deadline expires_ = deadline::Never();
};

// Holds a lease from a write that took effect until its own deadline.
class lease_holder {
 public:
  explicit lease_holder(const lease_terms& terms) : terms_(terms) {}

  // Before a write that takes or renews the lease. The deadline counts from
  // here, since observers see the write only later.
  void BeginWrite(time_point now) { write_begun_ = now; }
  // The write took effect.
  void Written(std::uint64_t version, const lease_record& record);
  // The write had no effect, or another process took over.
  void Lost() { version_ = 0; }

  // Whether the holder may act now. An order carries fencing().
  bool MayAct(time_point now) const;
  // When the next renewal is due.
  deadline renew_at() const;
  // The last moment at which the holder may act.
  deadline act_by() const { return act_by_; }
  std::uint64_t fencing() const { return record_.fencing; }
  std::uint64_t version() const { return version_; }
  // The record of the next renewal, written on condition of version().
  lease_record Renewal() const;

 private:
  lease_terms terms_;
  lease_record record_;
  // 0 while the lease is not held.
  std::uint64_t version_ = 0;
  time_point write_begun_;
  deadline act_by_ = deadline(time_point::min());
  deadline renew_at_ = deadline(time_point::min());
};

}  // namespace anvilloom

#endif  // INSTANCES_LEASE_H_
