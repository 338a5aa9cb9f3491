// Defines SweepClaims, which deletes claims that are past their retention
// period.
#ifndef ENTRY_CLAIM_SWEEPER_H_
#define ENTRY_CLAIM_SWEEPER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "common/log.h"
#include "common/time.h"
#include "contracts/claim.h"
#include "entry/claim_runner.h"
#include "wire/claim_json.h"
#include "wire/object_store.h"

namespace anvilloom {

// Makes one list call, and one delete call for each claim past `retention`.
// Open claims are kept, and so is a claim that changes between list and delete.
// `wall_now_s` is in seconds since the Unix epoch. Stops before the first
// delete at which `may_act` returns false. Returns the number of deleted
// claims, or the error of the list call.
template <object_store Store>
awaitable<store_result<std::size_t>> SweepClaims(
    Store& store,
    std::int64_t wall_now_s,
    std::chrono::seconds retention,
    deadline until,
    std::function<bool()> may_act = [] { return true; }) {
  const auto list = co_await store.List(kClaimKind, until);
  if (!list) {
    co_return list.error();
  }
  std::size_t deleted = 0;
  for (const stored_object& object : list->objects) {
    const auto record = DecodeClaim(object.value);
    if (!record || !PastRetention(*record, wall_now_s, retention)) {
      continue;
    }
    if (!may_act()) {
      break;
    }
    const auto result =
        co_await store.Delete(kClaimKind, object.name, object.version, until);
    deleted += result ? 1 : 0;
  }
  Log(log_level::kInfo, log_event::kClaimsSwept,
      {{"deleted", std::to_string(deleted)}});
  co_return deleted;
}

}  // namespace anvilloom

#endif  // ENTRY_CLAIM_SWEEPER_H_
