// Defines load_report_sequencer, which orders the load reports of engines and
// rejects those that are older than the latest accepted one.
#ifndef LINKS_LOAD_REPORT_SEQUENCER_H_
#define LINKS_LOAD_REPORT_SEQUENCER_H_

#include <cstdint>
#include <unordered_map>

#include "common/time.h"

namespace anvilloom {

// Logical time of a report of one engine. Entry instances share no clock, and a
// paused process can't tell how old its report is, so numbers are compared.
struct report_stamp {
  // Incremented when an instance takes over the engine, so that all reports of
  // the new owner are newer than those of the previous one.
  std::uint32_t term = 0;
  // Polling round of the owner.
  std::uint32_t round = 0;

  bool IsNewerThan(const report_stamp& other) const {
    return term != other.term ? term > other.term : round > other.round;
  }
  friend bool operator==(const report_stamp&, const report_stamp&) = default;
};

// Not thread-safe.
class load_report_sequencer {
 public:
  // After this time without a newer report, any report is accepted: an owner
  // that restarts before the others remove it begins again with the first term.
  static constexpr duration kReportLifetime = std::chrono::seconds(5);

  // Returns the stamp of a report that this instance has polled in `round`. The
  // first one after a report of another instance takes over the engine.
  report_stamp StampLocalReport(std::uint64_t engine,
                                std::uint32_t round,
                                time_point now);
  // Returns whether to use a report of another instance, and records it then.
  // It must be newer than the latest one unless that has expired.
  bool AcceptPeerReport(std::uint64_t engine,
                        report_stamp stamp,
                        time_point now);

 private:
  struct entry {
    report_stamp latest;
    bool is_own = false;
    time_point accepted_at;
  };

  std::unordered_map<std::uint64_t, entry> entries_;
};

}  // namespace anvilloom

#endif  // LINKS_LOAD_REPORT_SEQUENCER_H_
