// Defines the JSON codec for KV cache exports.
#ifndef WIRE_KV_CODEC_H_
#define WIRE_KV_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

namespace anvilloom {

// Encodes the body of POST /kv/export for a running request.
std::string EncodeKvExport(std::string_view request_id);

// Decodes the model version in an engine's load report.
std::optional<std::string> DecodeEngineVersion(std::string_view body);

// Decodes the handle in the response to an export. The complete response is the
// body of POST /kv/import.
std::optional<std::string> DecodeKvHandle(std::string_view body);

}  // namespace anvilloom

#endif  // WIRE_KV_CODEC_H_
