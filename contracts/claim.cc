#include "contracts/claim.h"

#include <array>

namespace anvilloom {

namespace {

struct state_name {
  claim_state state;
  std::string_view name;
};

constexpr std::array<state_name, 4> kStateNames = {{
    {claim_state::kOpen, "open"},
    {claim_state::kDone, "done"},
    {claim_state::kUnknown, "unknown"},
    {claim_state::kNotRun, "not_run"},
}};

}  // namespace

std::string_view Name(claim_state state) {
  for (const state_name& known : kStateNames) {
    if (known.state == state) {
      return known.name;
    }
  }
  return "unknown";
}

std::optional<claim_state> FindClaimState(std::string_view name) {
  for (const state_name& known : kStateNames) {
    if (known.name == name) {
      return known.state;
    }
  }
  return std::nullopt;
}

bool PastRetention(const claim_record& record,
                   std::int64_t wall_now_s,
                   std::chrono::seconds retention) {
  return record.state != claim_state::kOpen &&
         wall_now_s - record.written_at_s > retention.count();
}

}  // namespace anvilloom
