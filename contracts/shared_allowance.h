// Defines shared_allowance, a workspace's limit that several entry instances
// draw on at the same time.
#ifndef CONTRACTS_SHARED_ALLOWANCE_H_
#define CONTRACTS_SHARED_ALLOWANCE_H_

#include <atomic>
#include <cstdint>
#include <limits>

#include "common/time.h"

namespace anvilloom {

// A limit in units (requests or tokens). `per_second` 0 means no limit.
struct allowance_terms {
  std::uint64_t per_second = 0;
  std::uint64_t burst = 0;
};

// Every instance keeps a copy of the whole bucket and takes from it what it
// admits and what the others report to have admitted. Reports are a fraction of
// a second late, so the copies together overshoot by what arrives in that time;
// the debt is paid off before the next grant. For instances that are silent the
// owner charges their even share, so that both sides of a partition stay under
// the limit together.
//
// While a workspace asks for more than its limit, a bucket that fills up again
// would let all instances grant at once what none of them knows of the others.
// Each then grants no more than its share of what is there before it reports.
//
// The generic cell rate algorithm on one atomic; the share reads others without
// a lock, so that calls on several threads may exceed it by one each.
// Thread-safe.
class shared_allowance {
 public:
  // Takes `units` for a call of this instance if the bucket holds anything.
  bool Admit(std::uint64_t units, const allowance_terms& terms, time_point now);
  // Takes what another instance has admitted, into debt if needed.
  void Charge(std::uint64_t units,
              const allowance_terms& terms,
              time_point now);
  // Takes what another instance has admitted at unknown times, part of it long
  // ago: the bucket is empty at worst, and no debt comes of it.
  void ChargeEarlier(std::uint64_t units,
                     const allowance_terms& terms,
                     time_point now);
  // Takes back what was charged in place of grants that were not known. Only
  // debt is taken back: what the bucket has regained since stays as it is.
  void TakeBack(std::uint64_t units,
                const allowance_terms& terms,
                time_point now);
  // Gives back what was admitted but not used.
  void Refund(std::uint64_t units, const allowance_terms& terms);
  // When the bucket will hold something again, or, after a refusal for the
  // share, when the next report is due; `now` if neither is waited for.
  time_point FreeAt(const allowance_terms& terms, time_point now) const;

  // How often and among how many instances grants are reported.
  struct report_terms {
    std::uint64_t members = 1;
    duration interval{0};
  };
  // Notes at `now` that a report tells the others of `admitted` units.
  void NoteReported(std::uint64_t admitted,
                    const report_terms& terms,
                    time_point now);

  // Units admitted by this instance since it started. Others see its growth.
  std::uint64_t admitted() const {
    return admitted_.load(std::memory_order_relaxed);
  }

 private:
  // Whether this instance has granted its share of `available_us` of the limit
  // since its last report, while the workspace asks for more than its limit.
  bool ShareIsGranted(std::uint64_t units,
                      const allowance_terms& terms,
                      std::int64_t available_us,
                      std::int64_t now_us) const;
  std::uint64_t Unreported() const;
  bool IsContended(std::int64_t now_us) const;

  std::atomic<std::int64_t> full_at_us_{0};
  std::atomic<std::uint64_t> admitted_{0};
  // When the bucket was last found empty.
  std::atomic<std::int64_t> empty_at_us_{
      std::numeric_limits<std::int64_t>::min() / 2};
  std::atomic<std::uint64_t> reported_{0};
  std::atomic<std::int64_t> report_due_us_{0};
  std::atomic<std::int64_t> report_interval_us_{0};
  std::atomic<std::uint64_t> members_{1};
};

}  // namespace anvilloom

#endif  // CONTRACTS_SHARED_ALLOWANCE_H_
