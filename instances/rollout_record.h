// Defines version_rule, the versions of a service's upstreams that may get
// calls, and rollout_record, an order to move a service to another version with
// the step that it has reached.
#ifndef INSTANCES_ROLLOUT_RECORD_H_
#define INSTANCES_ROLLOUT_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"

namespace anvilloom {

struct version_rule {
  // If set, no other version is allowed.
  std::optional<std::string> only;
  std::vector<std::string> except;
  // If set, no versions but these: an instance may not have read the orders for
  // others. Not part of what is stored or reported.
  std::optional<std::vector<std::string>> among;

  bool Allows(std::string_view version) const {
    if (only) {
      return *only == version;
    }
    return std::ranges::find(except, version) == except.end() &&
           (!among || std::ranges::find(*among, version) != among->end());
  }

  friend bool operator==(const version_rule&, const version_rule&) = default;
};

// In the order in which a rollout can reach them; a later one never leads back
// to an earlier one.
enum class rollout_step : std::uint8_t {
  kObserving,  // The new version gets calls within the exposure.
  kMoved,      // New calls go to the new version only; old calls still run.
  kCompleted,
  kReverted,
};

constexpr std::string_view Name(rollout_step step) {
  switch (step) {
    case rollout_step::kObserving:
      return "observing";
    case rollout_step::kMoved:
      return "moved";
    case rollout_step::kCompleted:
      return "completed";
    default:
      return "reverted";
  }
}

constexpr bool IsFinal(rollout_step step) {
  return step >= rollout_step::kCompleted;
}

// What an operator asks for.
struct rollout_order {
  std::string service;
  std::string to;
  // Zero if the order states no usable time.
  duration time_limit{0};

  friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

// An order, and what has been decided on it.
struct rollout_record {
  rollout_order order;
  // Wall-clock time at which the order was first seen, in milliseconds since
  // 1970. Tells a newer order from an older one of the same service.
  std::uint64_t started_ms = 0;
  rollout_step step = rollout_step::kObserving;
  // The same for the step.
  std::uint64_t step_ms = 0;
  // What was allowed before the order.
  version_rule before;

  friend bool operator==(const rollout_record&,
                         const rollout_record&) = default;
};

// What calls that no exposure is used for may be sent to.
inline version_rule RuleOf(const rollout_record& record) {
  if (record.step == rollout_step::kMoved ||
      record.step == rollout_step::kCompleted) {
    return {record.order.to, {}, {}};
  }
  version_rule rule = record.before;
  if (rule.Allows(record.order.to)) {
    rule.except.push_back(record.order.to);
  }
  return rule;
}

// Whether `next` supersedes `known`: it is of a newer order, or a later step of
// the same one.
inline bool Supersedes(const rollout_record& next,
                       const rollout_record& known) {
  return next.started_ms != known.started_ms
             ? next.started_ms > known.started_ms
             : next.step > known.step;
}

}  // namespace anvilloom

#endif  // INSTANCES_ROLLOUT_RECORD_H_
