// Defines the decisions of a planned stop: which streams must be handed over,
// and to whom.
#ifndef INSTANCES_DRAIN_H_
#define INSTANCES_DRAIN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "instances/membership.h"

namespace anvilloom {

// How far a stream has come.
struct stream_progress {
  std::uint32_t tokens = 0;
  std::uint32_t max_tokens = 0;
  time_point accepted_at;
};

// Whether a stream is expected to end, at its own pace, well before `until`.
bool EndsBefore(const stream_progress& progress,
                deadline until,
                time_point now);

// The members that may hold a stream which `domain` hands over, best first:
// members of other failure domains, then those of the same one, each in
// rendezvous order, so that any instance computes the same holders. Members
// that are leaving, suspected or named `except` are left out.
std::vector<member_profile> HandoverTargets(const membership_snapshot& members,
                                            std::string_view stream,
                                            std::string_view domain,
                                            std::string_view except);

}  // namespace anvilloom

#endif  // INSTANCES_DRAIN_H_
