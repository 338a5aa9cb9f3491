// Defines the JSON encoding of a claim object.
#ifndef WIRE_CLAIM_JSON_H_
#define WIRE_CLAIM_JSON_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "contracts/claim.h"

namespace anvilloom {

// Largest answer body that is stored, in bytes. In base64 it stays well under
// the 1 MB that the object API takes.
inline constexpr std::size_t kMaxStoredBodyBytes = std::size_t{640} * 1024;

// Leaves out a body over the limit and marks the answer as omitted.
std::string EncodeClaim(const claim_record& record);
// Nothing if the text is no claim.
std::optional<claim_record> DecodeClaim(std::string_view text);

}  // namespace anvilloom

#endif  // WIRE_CLAIM_JSON_H_
