#include "contracts/claim_refusal.h"

#include <variant>

namespace anvilloom {

namespace {

claim_response Refuse(const refusal& reason) {
  return return_refusal{reason};
}

claim_response RefuseAsUnknown(refusal reason) {
  reason.ran = outcome::kUnknown;
  return return_refusal{reason};
}

}  // namespace

claim_response RefuseUnattempted(const claim_read_result& reading,
                                 std::string_view request_digest,
                                 const refusal& reason) {
  if (std::holds_alternative<claim_absent>(reading)) {
    return Refuse(reason);
  }
  const auto* seen = std::get_if<versioned_claim>(&reading);
  if (seen == nullptr) {
    return RefuseAsUnknown(reason);
  }
  const claim_record& record = seen->record;
  if (record.state == claim_state::kNotRun) {
    return Refuse(reason);
  }
  if (record.request_digest != request_digest) {
    return Refuse({refusal_code::kIdempotencyKeyReused, outcome::kNotRun});
  }
  if (record.state == claim_state::kOpen) {
    return RefuseAsUnknown(reason);
  }
  if (record.state == claim_state::kUnknown) {
    return Refuse({refusal_code::kOutcomeUnknown, outcome::kUnknown});
  }
  if (record.answer.omitted) {
    return Refuse({refusal_code::kIncompleteAnswer, outcome::kRan});
  }
  return return_answer{record.answer};
}

}  // namespace anvilloom
