// Defines the codec for the parts of a report that concern rollouts: the
// rollouts, and the versions of changed upstreams.
#ifndef WIRE_ROLLOUT_REPORT_CODEC_H_
#define WIRE_ROLLOUT_REPORT_CODEC_H_

#include "instances/peer_report.h"

namespace anvilloom {

namespace wire {
class PeerReport;
}  // namespace wire

void EncodeRollouts(const peer_report& report, wire::PeerReport& message);

// Decodes them into a report whose other parts have been decoded. Versions are
// left out unless the report has all changes of the message. False if they are
// not sound.
bool DecodeRollouts(const wire::PeerReport& message,
                    bool has_all_changes,
                    peer_report& report);

}  // namespace anvilloom

#endif  // WIRE_ROLLOUT_REPORT_CODEC_H_
