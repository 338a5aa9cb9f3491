// Defines the JSON codec for chat completions: requests and responses of
// callers, and requests to and chunks from model engines.
#ifndef WIRE_CHAT_CODEC_H_
#define WIRE_CHAT_CODEC_H_

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "contracts/contract.h"
#include "links/answer_check.h"

namespace anvilloom {

// Reasons why a chat completion request is rejected.
enum class chat_fault {
  kNotJson,
  kMissingModel,
  kMissingMessages,
  kBadMaxTokens,
};

// Returns an error message for the caller, a full sentence that names the key
// and the expected value.
std::string_view ErrorMessage(chat_fault fault);

// A decoded chat completion request.
struct chat_request {
  // The "model" member: the name of a service.
  std::string service;
  // The "messages" member as JSON text.
  std::string messages;
  std::uint32_t max_tokens = 256;
  // Whether the response is sent as server-sent events.
  bool stream = false;
};

// Decodes a caller's request body. Fails with a chat_fault.
boost::leaf::result<chat_request> DecodeChatRequest(std::string_view body);

// Estimates the number of prompt tokens at one token per 4 bytes of message
// text.
std::uint32_t EstimatePromptTokens(const chat_request& request);

// The part of a completion that was generated before a stream is resumed.
struct resume_point {
  std::uint32_t tokens = 0;
  std::string_view text;
  // Handle of an exported KV cache that the engine has imported; empty if there
  // is none.
  std::string_view cache_handle;
};

// Encodes a request to a model engine.
std::string EncodeEngineRequest(const chat_request& request,
                                std::string_view model,
                                std::string_view request_id,
                                priority request_priority,
                                const resume_point& resume);

// Decodes the data field of an engine's server-sent events. Not thread-safe.
class chunk_decoder {
 public:
  // Returns nullopt if the data is not a chat completion chunk. Views in the
  // chunk are valid until the next call.
  std::optional<answer_chunk> Decode(std::string_view data);

 private:
  boost::json::value parsed_;
};

// Fields that identify a response in every chunk sent to the caller.
struct completion_identity {
  std::string_view request_id;
  std::string_view service;
  std::string_view model_version;
};

// Appends a server-sent event that carries one token to `out`.
void AppendTokenEvent(std::string& out,
                      std::string_view stream_id,
                      const completion_identity& identity,
                      std::uint32_t index,
                      std::string_view text);

// Appends the last two events of a stream to `out`: the chunk with
// finish_reason and usage, and "[DONE]".
void AppendFinishEvents(std::string& out,
                        std::string_view stream_id,
                        const completion_identity& identity,
                        std::uint32_t prompt_tokens,
                        std::uint32_t tokens);

// Encodes a complete response for a caller that did not request a stream.
std::string EncodeCompletion(const completion_identity& identity,
                             std::string_view text,
                             std::uint32_t prompt_tokens,
                             std::uint32_t tokens);

}  // namespace anvilloom

#endif  // WIRE_CHAT_CODEC_H_
