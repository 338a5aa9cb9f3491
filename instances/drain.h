// Defines the decisions of a planned shutdown: which streams must be handed
// over, and to which members.
#ifndef INSTANCES_DRAIN_H_
#define INSTANCES_DRAIN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "instances/membership.h"

namespace anvilloom {

// Progress of a stream.
struct stream_progress {
  std::uint32_t tokens = 0;
  std::uint32_t max_tokens = 0;
  time_point accepted_at;
};

// Whether a stream is expected to finish before `until`, with a margin, at the
// token rate that it has had so far.
bool FinishesBefore(const stream_progress& progress,
                    deadline until,
                    time_point now);

// Returns the members that may take over a stream from an instance in failure
// domain `domain`, in order of preference: members of other failure domains,
// then those of the same one, each group in rendezvous hashing order, so that
// every instance computes the same order. Members that are leaving, suspected
// or named `except` are left out.
std::vector<member_profile> HandoverTargets(const membership_snapshot& members,
                                            std::string_view stream,
                                            std::string_view domain,
                                            std::string_view except);

}  // namespace anvilloom

#endif  // INSTANCES_DRAIN_H_
