#include "wire/rollout_report_codec.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/announcement_check.h"
#include "wire/peer_report.pb.h"

namespace anvilloom {

namespace {

// Versions that an order excludes; more mean another program.
constexpr int kMaxExcept = 32;
constexpr std::uint64_t kMaxAgeUs = 1'000'000'000'000;
constexpr std::uint64_t kMaxTimeMs = 9'000'000'000'000;
constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();

void EncodeCounts(const rollout_counts& counts, wire::RolloutCounts& message) {
  message.set_calls(counts.calls);
  message.set_failures(counts.failures);
  message.set_timed(counts.timed);
  message.set_slow(counts.slow);
}

// Counts that contradict each other are refused, since sums are formed.
std::optional<rollout_counts> DecodeCounts(const wire::RolloutCounts& message) {
  if (message.calls() > kMaxCount || message.failures() > message.calls() ||
      message.timed() > message.calls() || message.slow() > message.timed()) {
    return std::nullopt;
  }
  return rollout_counts{static_cast<std::uint32_t>(message.calls()),
                        static_cast<std::uint32_t>(message.failures()),
                        static_cast<std::uint32_t>(message.timed()),
                        static_cast<std::uint32_t>(message.slow())};
}

void EncodeRollout(const rollout_report& report, wire::Rollout& message) {
  const rollout_record& record = report.record;
  message.set_service(record.order.service);
  message.set_to(record.order.to);
  message.set_time_limit_us(
      static_cast<std::uint64_t>(record.order.time_limit.count()));
  message.set_started_ms(record.started_ms);
  message.set_step(static_cast<std::uint32_t>(record.step));
  message.set_step_ms(record.step_ms);
  if (record.before.only) {
    message.set_limited(true);
    message.set_only(*record.before.only);
  }
  for (const std::string& each : record.before.except) {
    message.add_except(each);
  }
  if (report.confirmed_age) {
    message.set_confirmed(true);
    message.set_confirmed_age_us(static_cast<std::uint64_t>(
        std::max<duration::rep>(report.confirmed_age->count(), 0)));
  }
  message.set_bad(report.is_bad);
  message.set_old_running(report.old_running);
  for (const rollout_cell& each : report.evidence) {
    wire::RolloutCell& cell = *message.add_cells();
    cell.set_route(each.route);
    cell.set_loaded(each.loaded);
    EncodeCounts(each.old_version, *cell.mutable_old_version());
    EncodeCounts(each.new_version, *cell.mutable_new_version());
  }
}

bool IsInRange(const wire::Rollout& message) {
  return !message.service().empty() &&
         message.service().size() <= kMaxNameBytes && !message.to().empty() &&
         message.to().size() <= kMaxNameBytes &&
         message.time_limit_us() <= kMaxAgeUs &&
         message.confirmed_age_us() <= kMaxAgeUs &&
         message.started_ms() <= kMaxTimeMs &&
         message.step_ms() <= kMaxTimeMs &&
         message.step() <=
             static_cast<std::uint64_t>(rollout_step::kReverted) &&
         message.old_running() <= kMaxCount &&
         message.except_size() <= kMaxExcept &&
         static_cast<std::size_t>(message.cells_size()) <= kRolloutCells;
}

std::optional<rollout_report> DecodeRollout(const wire::Rollout& message) {
  if (!IsInRange(message)) {
    return std::nullopt;
  }
  rollout_report report;
  rollout_record& record = report.record;
  record.order = {message.service(), message.to(),
                  duration(static_cast<std::int64_t>(message.time_limit_us()))};
  record.started_ms = message.started_ms();
  record.step = static_cast<rollout_step>(message.step());
  record.step_ms = message.step_ms();
  if (message.limited() && message.has_only()) {
    record.before.only = message.only();
  }
  record.before.except.assign(message.except().begin(), message.except().end());
  if (message.confirmed()) {
    report.confirmed_age =
        duration(static_cast<std::int64_t>(message.confirmed_age_us()));
  }
  report.is_bad = message.bad();
  report.old_running = static_cast<std::uint32_t>(message.old_running());
  for (const wire::RolloutCell& each : message.cells()) {
    const auto old_version = DecodeCounts(each.old_version());
    const auto new_version = DecodeCounts(each.new_version());
    if (!old_version || !new_version) {
      return std::nullopt;
    }
    report.evidence.push_back(
        {each.route(), each.loaded(), *old_version, *new_version});
  }
  return report;
}

// A version that belongs to no change is ignored: changes that can't be applied
// are left out.
bool DecodeVersions(const wire::PeerReport& message,
                    std::vector<upstream_change>& changes) {
  for (const wire::ChangedVersion& each : message.changed_versions()) {
    if (each.version().size() > kMaxNameBytes) {
      return false;
    }
    if (each.index() < changes.size() && !changes[each.index()].removed) {
      changes[each.index()].announced.version = each.version();
    }
  }
  return true;
}

}  // namespace

void EncodeRollouts(const peer_report& report, wire::PeerReport& message) {
  for (const rollout_report& each : report.rollouts) {
    EncodeRollout(each, *message.add_rollouts());
  }
  const auto& changes = report.news ? report.news->changes : report.changes;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    if (!changes[i].announced.version.empty()) {
      wire::ChangedVersion& version = *message.add_changed_versions();
      version.set_index(i);
      version.set_version(changes[i].announced.version);
    }
  }
}

bool DecodeRollouts(const wire::PeerReport& message,
                    bool has_all_changes,
                    peer_report& report) {
  if (has_all_changes &&
      !DecodeVersions(message,
                      report.news ? report.news->changes : report.changes)) {
    return false;
  }
  for (const wire::Rollout& each : message.rollouts()) {
    if (report.rollouts.size() == kRolloutsPerReport) {
      break;
    }
    auto rollout = DecodeRollout(each);
    if (!rollout) {
      return false;
    }
    report.rollouts.push_back(std::move(*rollout));
  }
  return true;
}

}  // namespace anvilloom
