// Defines the JSON codec for the lease object.
#ifndef WIRE_LEASE_JSON_H_
#define WIRE_LEASE_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "instances/lease.h"

namespace anvilloom {

std::string EncodeLease(const lease_record& record);
// Returns nullopt if the text is not a lease, if its period exceeds one hour,
// or if its fencing number leaves none for the next holders.
std::optional<lease_record> DecodeLease(std::string_view text);

}  // namespace anvilloom

#endif  // WIRE_LEASE_JSON_H_
