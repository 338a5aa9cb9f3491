#include "links/load_report_sequencer.h"

namespace anvilloom {

report_stamp load_report_sequencer::StampLocalReport(std::uint64_t engine,
                                                     std::uint32_t round,
                                                     time_point now) {
  entry& current = entries_[engine];
  if (!current.is_own) {
    ++current.latest.term;
  }
  current.latest.round = round;
  current.is_own = true;
  current.accepted_at = now;
  return current.latest;
}

bool load_report_sequencer::AcceptPeerReport(std::uint64_t engine,
                                             report_stamp stamp,
                                             time_point now) {
  const auto [found, is_first] = entries_.try_emplace(engine);
  entry& current = found->second;
  const bool unexpired =
      !is_first &&
      !deadline::After(current.accepted_at, kReportLifetime).Expired(now);
  if (unexpired && !stamp.IsNewerThan(current.latest)) {
    return false;
  }
  current = {stamp, false, now};
  return true;
}

}  // namespace anvilloom
