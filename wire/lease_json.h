// Defines the JSON encoding of the lease object.
#ifndef WIRE_LEASE_JSON_H_
#define WIRE_LEASE_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "instances/lease.h"

namespace anvilloom {

std::string EncodeLease(const lease_record& record);
// Nothing if the text is no lease, or if its period is longer than an hour.
std::optional<lease_record> DecodeLease(std::string_view text);

}  // namespace anvilloom

#endif  // WIRE_LEASE_JSON_H_
