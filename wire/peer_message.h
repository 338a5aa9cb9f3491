// Defines peer_message, what entry instances say to each other, as typed
// values. The encoding is in wire/peer_codec.
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

// Tells that a configuration revision is in force at the sender.
struct configuration_announce {
  std::uint64_t revision = 0;
};

// Asks for the newest manifest, or, with a digest, for one file.
struct configuration_fetch {
  // SHA-256 in hexadecimal, or empty.
  std::string digest;
};

struct configuration_fetch_answer {
  bool found = false;
  // The text of the manifest or of the file.
  std::string text;
};

// One engine's load as its owner has polled it.
struct engine_load {
  // ShortUpstreamId() of the upstream.
  std::uint32_t upstream = 0;
  // See report_stamp.
  std::uint32_t term = 0;
  load_report report;
  // Hash64 of the model version; zero if the sender leaves it out, which saves
  // bytes.
  std::uint64_t version = 0;
};

// The loads of the engines that the sender owns.
struct load_summary {
  // Polling round of the sender; see report_stamp.
  std::uint32_t round = 0;
  // Time since the oldest of the reports was asked for. Processes do not share
  // a clock, so a time of observation would mean nothing to the receiver.
  duration age{0};
  std::vector<engine_load> engines;
};

// A running stream that the sender hands over. Processes do not share a clock,
// so the deadlines travel as remaining times; the receiver computes its own
// deadlines from them when the message arrives.
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
  // The delivered text, and the end of each token in it.
  std::string text;
  std::vector<std::uint32_t> ends;
  // Grows with each hand-over of the stream; the holder with the largest
  // number is the present one.
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
  // Where callers reach the holder: IP address and port.
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

// A message with what is needed to answer it.
struct peer_message {
  // Peer address of the sender.
  std::string from_address;
  // Pairs an answer with its question; 0 if no answer is wanted.
  std::uint64_t call = 0;
  peer_body body;
};

}  // namespace anvilloom

#endif  // WIRE_PEER_MESSAGE_H_
