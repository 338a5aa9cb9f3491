// Defines shared_limits, which charges the limits of workspaces with what the
// other instances have granted or may have granted.
#ifndef INSTANCES_SHARED_LIMITS_H_
#define INSTANCES_SHARED_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "common/time.h"
#include "contracts/distributed_rate_limiter.h"
#include "instances/peer_report.h"

namespace anvilloom {

// The limit of a workspace with this instance's copy of its bucket, which must
// outlive it.
struct shared_limit {
  std::string_view workspace;
  rate_limit terms;
  distributed_rate_limiter* bucket = nullptr;
};

// Not thread-safe. The table must outlive it.
class shared_limits {
 public:
  explicit shared_limits(peer_report_table& peers) : peers_(peers) {}

  // Charges the limits of the first manifest if there are other instances,
  // which may have just granted the limits in full. `until_report` is the time
  // until the first report.
  void ChargeInitially(std::span<const shared_limit> limits,
                       duration until_report,
                       time_point now);

  // Applies the report of another instance to the table and the limits.
  void TakeReport(const peer_report& report,
                  std::span<const shared_limit> limits,
                  time_point now);

  // Charges the limits with the equal share of the instances whose grants are
  // unknown, for the time since the last call. Returns their number.
  std::size_t ChargeUnaccounted(std::span<const shared_limit> limits,
                                time_point now);

 private:
  peer_report_table& peers_;
};

}  // namespace anvilloom

#endif  // INSTANCES_SHARED_LIMITS_H_
