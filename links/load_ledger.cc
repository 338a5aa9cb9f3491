#include "links/load_ledger.h"

namespace anvilloom {

report_stamp load_ledger::StampOwn(std::uint64_t engine,
                                   std::uint32_t round,
                                   time_point now) {
  entry& held = entries_[engine];
  if (!held.own) {
    ++held.newest.term;
  }
  held.newest.round = round;
  held.own = true;
  held.taken_at = now;
  return held.newest;
}

bool load_ledger::TakeForeign(std::uint64_t engine,
                              report_stamp stamp,
                              time_point now) {
  const auto [found, is_first] = entries_.try_emplace(engine);
  entry& held = found->second;
  const bool guarded =
      !is_first && !deadline::After(held.taken_at, kGuardedFor).Expired(now);
  if (guarded && !stamp.NewerThan(held.newest)) {
    return false;
  }
  held = {stamp, false, now};
  return true;
}

}  // namespace anvilloom
