// Defines the JSON encoding of KV cache exports.
#ifndef WIRE_KV_CODEC_H_
#define WIRE_KV_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// The body of POST /kv/export for one running request.
std::string EncodeKvExport(std::string_view request_id);

// The handle in the answer to an export. The whole answer is the body of
// POST /kv/import.
std::optional<std::string> DecodeKvHandle(std::string_view body);

}  // namespace anvilloom

#endif  // WIRE_KV_CODEC_H_
