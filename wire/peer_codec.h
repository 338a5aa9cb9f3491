// Defines EncodePeerMessage and DecodePeerMessage, the protobuf encoding of
// messages between entry instances.
#ifndef WIRE_PEER_CODEC_H_
#define WIRE_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/peer_message.h"

namespace anvilloom {

std::string EncodePeerMessage(const peer_message& message);

// Returns nullopt if the bytes are not a message or a value is out of range.
std::optional<peer_message> DecodePeerMessage(std::string_view bytes);

}  // namespace anvilloom

#endif  // WIRE_PEER_CODEC_H_
