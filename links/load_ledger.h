// Defines load_ledger, which decides whether a load report of an engine is
// newer than the one that this entry instance holds.
#ifndef LINKS_LOAD_LEDGER_H_
#define LINKS_LOAD_LEDGER_H_

#include <cstdint>
#include <unordered_map>

#include "common/time.h"

namespace anvilloom {

// Orders the reports of one engine. Entry instances share no clock, and a
// paused process can't tell how old its report is, so a number is compared.
struct report_stamp {
  // Grows by one whenever an instance takes the engine over, so that every
  // report of the new owner is above all reports of the earlier one.
  std::uint32_t term = 0;
  // Polling round of the owner.
  std::uint32_t round = 0;

  bool NewerThan(const report_stamp& other) const {
    return term != other.term ? term > other.term : round > other.round;
  }
  friend bool operator==(const report_stamp&, const report_stamp&) = default;
};

// Not thread-safe.
class load_ledger {
 public:
  // After this time without a newer report, any report is taken: an owner that
  // restarts before the others drop it begins again with the first term.
  static constexpr duration kGuardedFor = std::chrono::seconds(5);

  // The stamp of a report that this instance has polled itself in `round`. The
  // first one after another instance's report takes the engine over.
  report_stamp StampOwn(std::uint64_t engine,
                        std::uint32_t round,
                        time_point now);
  // Whether to use another instance's report: it is newer than the latest.
  bool TakeForeign(std::uint64_t engine, report_stamp stamp, time_point now);

 private:
  struct entry {
    report_stamp newest;
    bool own = false;
    time_point taken_at;
  };

  std::unordered_map<std::uint64_t, entry> entries_;
};

}  // namespace anvilloom

#endif  // LINKS_LOAD_LEDGER_H_
