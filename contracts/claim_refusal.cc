#include "contracts/claim_refusal.h"

#include <variant>

namespace anvilloom {

namespace {

claim_verdict Refuse(const refusal& why) {
  return tell_refusal{why};
}

claim_verdict RefuseAsUnknown(refusal why) {
  why.ran = outcome::kUnknown;
  return tell_refusal{why};
}

}  // namespace

claim_verdict RefuseUnsent(const claim_reading& reading,
                           std::string_view request_digest,
                           const refusal& why) {
  if (std::holds_alternative<claim_absent>(reading)) {
    return Refuse(why);
  }
  const auto* seen = std::get_if<seen_claim>(&reading);
  if (seen == nullptr) {
    return RefuseAsUnknown(why);
  }
  const claim_record& record = seen->record;
  if (record.state == claim_state::kNotRun) {
    return Refuse(why);
  }
  if (record.request_digest != request_digest) {
    return Refuse({refusal_code::kIdempotencyKeyReused, outcome::kNotRun});
  }
  if (record.state == claim_state::kOpen) {
    return RefuseAsUnknown(why);
  }
  if (record.state == claim_state::kUnknown) {
    return Refuse({refusal_code::kOutcomeUnknown, outcome::kUnknown});
  }
  if (record.answer.omitted) {
    return Refuse({refusal_code::kIncompleteAnswer, outcome::kRan});
  }
  return tell_answer{record.answer};
}

}  // namespace anvilloom
