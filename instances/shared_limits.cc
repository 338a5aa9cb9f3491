#include "instances/shared_limits.h"

#include <algorithm>

namespace anvilloom {

namespace {

// At startup, the limits are charged in advance for the time until the first
// report divided by this. Charging all of it refuses callers whose workspaces
// are below their limits, since calls are not spread evenly over the instances.
// With a quarter, 72 restarted instances exceeded a limit by 1%.
constexpr double kInitialChargeDivisor = 3;

// Intervals between reports after which an instance that has started with
// others has heard of their first grants.
constexpr std::int64_t kReportsUntilKnown = 3;

// Returns the units that a share of a limit allows in a time.
std::uint64_t UnitsIn(duration time, std::uint64_t per_second, double share) {
  const double seconds = std::chrono::duration<double>(time).count();
  return static_cast<std::uint64_t>(static_cast<double>(per_second) * share *
                                    seconds);
}

void ChargeUnits(peer_report_table::grant_time when,
                 std::uint64_t units,
                 const shared_limit& limit,
                 time_point now) {
  if (when == peer_report_table::grant_time::kUnknown) {
    limit.bucket->ChargePastGrants(units, limit.terms, now);
  } else {
    limit.bucket->Charge(units, limit.terms, now);
  }
}

}  // namespace

void shared_limits::ChargeInitially(std::span<const shared_limit> limits,
                                    duration until_report,
                                    time_point now) {
  if (peers_.Members() == 1) {
    return;
  }
  for (const shared_limit& limit : limits) {
    limit.bucket->BeginStartup(
        {.started_at = now,
         .grants_known =
             deadline::After(now, until_report * kReportsUntilKnown),
         .settled = deadline::After(now, peer_report_table::kSettle)});
    limit.bucket->ChargePastGrants(limit.terms.burst, limit.terms, now);
    // No share of the other instances is charged until the first report.
    limit.bucket->Charge(UnitsIn(until_report, limit.terms.per_second,
                                 1 / kInitialChargeDivisor),
                         limit.terms, now);
  }
}

void shared_limits::TakeReport(const peer_report& report,
                               std::span<const shared_limit> limits,
                               time_point now) {
  const peer_report_table::grant_sink sink{
      [&](const peer_report_table::new_grants& grants) {
        const auto found = std::ranges::find(limits, grants.workspace,
                                             &shared_limit::workspace);
        if (found != limits.end()) {
          ChargeUnits(grants.when, grants.units, *found, now);
        }
      },
      [&](duration limit_time) {
        for (const shared_limit& limit : limits) {
          limit.bucket->RevertCharge(
              UnitsIn(limit_time, limit.terms.per_second, 1.0), limit.terms,
              now);
        }
      },
      [&](const peer_report_table::new_demand& demand) {
        for (const shared_limit& limit : limits) {
          const auto found =
              std::ranges::find(demand.asked, limit.workspace,
                                &peer_report_table::asked_units::workspace);
          limit.bucket->RecordDemand(
              found == demand.asked.end() ? 0 : found->units, demand.covered,
              peers_.Members(), now);
        }
      }};
  peers_.Take(report, now, sink);
}

std::size_t shared_limits::ChargeUnaccounted(
    std::span<const shared_limit> limits,
    time_point now) {
  const peer_report_table::assumed_grants assumed =
      peers_.TakeAssumedGrants(now);
  for (const shared_limit& limit : limits) {
    ChargeUnits(assumed.when,
                UnitsIn(assumed.passed, limit.terms.per_second, assumed.share),
                limit, now);
  }
  return assumed.members;
}

}  // namespace anvilloom
