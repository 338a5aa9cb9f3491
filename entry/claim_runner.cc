#include "entry/claim_runner.h"

#include <chrono>

namespace anvilloom {

claim_write_result ToClaimWriteResult(
    const store_result<std::uint64_t>& result) {
  if (result) {
    return {claim_write_outcome::kApplied, *result};
  }
  switch (result.error()) {
    case store_error::kConflict:
      return {claim_write_outcome::kConflict};
    case store_error::kNotFound:
    case store_error::kGone:
      return {claim_write_outcome::kMissing};
    case store_error::kRefused:
    case store_error::kUnavailable:
      return {claim_write_outcome::kNotApplied};
    case store_error::kAmbiguous:
      break;
  }
  return {claim_write_outcome::kAmbiguous};
}

claim_read_result ToClaimReadResult(const store_result<stored_object>& result) {
  if (!result) {
    if (result.error() == store_error::kNotFound) {
      return claim_absent{};
    }
    return claim_unreadable{};
  }
  auto record = DecodeClaim(result->value);
  if (!record) {
    return claim_unreadable{};
  }
  return versioned_claim{result->version, std::move(*record)};
}

std::int64_t WallClockSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void LogClaimEnd(std::string_view name,
                 const claim_progress& progress,
                 const claim_response& verdict) {
  const std::string claim(name);
  const auto* refused = std::get_if<return_refusal>(&verdict);
  if (refused != nullptr &&
      refused->reason.code == refusal_code::kStoreUnavailable) {
    Log(log_level::kWarning, log_event::kClaimStoreUnavailable,
        {{"claim", claim},
         {"outcome", std::string(Name(refused->reason.ran))}});
  }
  if (progress.result != claim_state::kOpen && !progress.result_stored) {
    Log(log_level::kError, log_event::kClaimNotRecorded,
        {{"claim", claim}, {"result", std::string(Name(progress.result))}});
  }
  if (refused != nullptr && progress.release_tries > 0) {
    Log(log_level::kInfo, log_event::kClaimReleased,
        {{"claim", claim}, {"code", std::string(Name(refused->reason.code))}});
  }
}

}  // namespace anvilloom
