// Defines peer_message, the typed messages between entry instances.
// wire/peer_codec encodes them.
#ifndef WIRE_PEER_MESSAGE_H_
#define WIRE_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/time.h"
#include "instances/membership.h"
#include "links/link.h"

namespace anvilloom {

// Announces that a configuration revision is in force at the sender.
struct configuration_announce {
  std::uint64_t revision = 0;
};

// Requests the latest manifest or, with a digest, a file.
struct configuration_fetch {
  // SHA-256 of the file in hexadecimal; empty for the manifest.
  std::string digest;
};

struct configuration_fetch_answer {
  bool found = false;
  // The text of the manifest or of the file.
  std::string text;
};

// The load of an engine, as polled by the instance that owns it.
struct engine_load {
  // ShortUpstreamId() of the upstream.
  std::uint32_t upstream = 0;
  // Incremented when another instance takes over the engine; see report_stamp.
  std::uint32_t term = 0;
  load_report report;
  // Hash64 of the model version; zero if the sender omits it to save bytes.
  std::uint64_t version = 0;
};

// The loads of the engines that the sender owns.
struct load_summary {
  // Polling round of the sender; see report_stamp.
  std::uint32_t round = 0;
  // Time since the oldest of the reports was requested. Sent as an age because
  // processes do not share a clock.
  duration age{0};
  std::vector<engine_load> engines;
};

// A running stream that the sender hands over. Processes do not share a clock,
// so deadlines are sent as remaining times; the receiver computes its own
// deadlines when the message arrives.
struct stream_handover {
  std::string stream;
  std::string request_id;
  std::string workspace;
  std::string service;
  // The "messages" member of the request as JSON text.
  std::string messages;
  std::uint32_t max_tokens = 0;
  bool wants_stream = false;
  // Remaining times in microseconds.
  duration first_token_remaining{0};
  duration answer_remaining{0};
  std::string model_version;
  // The text delivered so far, and the end offset of each token in it.
  std::string text;
  std::vector<std::uint32_t> ends;
  // Incremented by each hand-over of the stream; the holder with the largest
  // number is the current one.
  std::uint32_t transfer = 0;
};

struct stream_handover_answer {
  bool accepted = false;
};

struct stream_locate {
  std::string stream;
};

struct stream_locate_answer {
  bool found = false;
  // IP address and port at which callers reach the holder.
  std::string http_address;
  std::uint32_t transfer = 0;
};

using peer_body = std::variant<membership_message,
                               configuration_announce,
                               configuration_fetch,
                               configuration_fetch_answer,
                               load_summary,
                               stream_handover,
                               stream_handover_answer,
                               stream_locate,
                               stream_locate_answer>;

// A message and the fields needed to reply to it.
struct peer_message {
  // Peer address of the sender.
  std::string from_address;
  // Correlates a reply with its request; 0 if no reply is expected.
  std::uint64_t call = 0;
  peer_body body;
};

}  // namespace anvilloom

#endif  // WIRE_PEER_MESSAGE_H_
