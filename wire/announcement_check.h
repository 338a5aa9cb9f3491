// Defines IsUsable, which checks announcements from the store and from reports
// of other instances before they are applied.
#ifndef WIRE_ANNOUNCEMENT_CHECK_H_
#define WIRE_ANNOUNCEMENT_CHECK_H_

#include <cstddef>
#include <string_view>

#include "instances/upstream_announcement.h"

namespace anvilloom {

// Longest name of an instance, an upstream, a service or a failure domain, in
// bytes. Names are sent to other instances, several in a datagram, and are
// logged.
inline constexpr std::size_t kMaxNameBytes = 128;

// Whether an entry of the store, or the object that it stands for, may have
// this name: it is neither empty nor longer than kMaxNameBytes.
bool IsEntryName(std::string_view name);

// Whether no name or address is longer than kMaxNameBytes.
bool HasShortNames(const upstream_announcement& announced);

// Whether the announcement names an upstream that can be called. Its id is sent
// in a header of each call.
bool IsUsable(const upstream_announcement& announced);

}  // namespace anvilloom

#endif  // WIRE_ANNOUNCEMENT_CHECK_H_
