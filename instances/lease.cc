#include "instances/lease.h"

#include <algorithm>

namespace anvilloom {

lease_record TakeOver(const std::optional<lease_record>& current,
                      std::string_view holder,
                      const lease_timing& timing,
                      std::uint64_t used) {
  lease_record next;
  next.holder = holder;
  next.fencing = std::max(current ? current->fencing : 0, used) + 1;
  next.period = timing.period;
  return next;
}

void lease_observer::Observe(std::uint64_t version,
                             duration period,
                             time_point now) {
  if (version == version_) {
    return;
  }
  version_ = version;
  expires_ = deadline::After(now, period);
}

bool lease_observer::Expired(time_point now) const {
  return version_ != 0 && expires_.Expired(now);
}

void lease_holder::WriteSucceeded(std::uint64_t version,
                                  const lease_record& record) {
  version_ = version;
  record_ = record;
  act_by_ =
      deadline::After(write_started_at_, record.period - terms_.stop_margin);
  renewal_due_ = deadline::After(write_started_at_, terms_.renew_interval);
}

bool lease_holder::MayAct(time_point now) const {
  return version_ != 0 && !act_by_.Expired(now);
}

deadline lease_holder::renewal_due() const {
  return renewal_due_;
}

lease_record lease_holder::Renewal() const {
  lease_record next = record_;
  ++next.renewals;
  return next;
}

}  // namespace anvilloom
