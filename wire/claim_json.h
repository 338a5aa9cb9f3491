// Defines the JSON codec for a claim object.
#ifndef WIRE_CLAIM_JSON_H_
#define WIRE_CLAIM_JSON_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "contracts/claim.h"

namespace anvilloom {

// Largest answer body that is stored, in bytes. Its base64 encoding stays below
// the 1 MB limit of the object API.
inline constexpr std::size_t kMaxStoredBodyBytes = std::size_t{640} * 1024;

// Omits a body that exceeds kMaxStoredBodyBytes and marks the answer as
// omitted.
std::string EncodeClaim(const claim_record& record);
// Returns nullopt if the text is not a valid claim.
std::optional<claim_record> DecodeClaim(std::string_view text);

}  // namespace anvilloom

#endif  // WIRE_CLAIM_JSON_H_
