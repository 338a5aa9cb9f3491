// Defines the JSON encoding of chat completions, towards callers and towards
// model engines.
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

// What is wrong with a chat completion request.
enum class chat_fault {
  kNotJson,
  kMissingModel,
  kMissingMessages,
  kBadMaxTokens,
};

// A full sentence that names the key and what was expected.
std::string_view Sentence(chat_fault fault);

// A chat completion as the caller asked for it.
struct chat_request {
  // The "model" member: the name of a service.
  std::string service;
  // The "messages" member as JSON text.
  std::string messages;
  std::uint32_t max_tokens = 256;
  // Whether the caller wants server-sent events.
  bool stream = false;
};

// Decodes a caller's request body. Fails with a chat_fault.
boost::leaf::result<chat_request> DecodeChatRequest(std::string_view body);

// Estimated prompt tokens: engines count about one token for 4 bytes of text.
std::uint32_t EstimatePromptTokens(const chat_request& request);

// The part of a generation that exists already, when a stream is resumed.
struct resume_point {
  std::uint32_t tokens = 0;
  std::string_view text;
  // Names an exported KV cache that the engine has imported; may be empty.
  std::string_view cache_handle;
};

// Encodes a request to a model engine.
std::string EncodeEngineRequest(const chat_request& request,
                                std::string_view model,
                                std::string_view request_id,
                                priority rank,
                                const resume_point& resume);

// Decodes the data of one server-sent event of an engine. Not thread-safe.
class chunk_decoder {
 public:
  // Nothing if the data is not a chat completion chunk. Views in the chunk are
  // valid until the next call.
  std::optional<answer_chunk> Decode(std::string_view data);

 private:
  boost::json::value parsed_;
};

// Identifies an answer towards its caller.
struct answer_identity {
  std::string_view request_id;
  std::string_view service;
  std::string_view model_version;
};

// Appends one server-sent event with one token to `out`.
void AppendTokenEvent(std::string& out,
                      std::string_view stream_id,
                      const answer_identity& identity,
                      std::uint32_t index,
                      std::string_view text);

// Appends the last two events of a stream: finish_reason with usage, and
// "[DONE]".
void AppendFinishEvents(std::string& out,
                        std::string_view stream_id,
                        const answer_identity& identity,
                        std::uint32_t prompt_tokens,
                        std::uint32_t tokens);

// Encodes a whole answer for a caller that did not ask for a stream.
std::string EncodeWholeAnswer(const answer_identity& identity,
                              std::string_view text,
                              std::uint32_t prompt_tokens,
                              std::uint32_t tokens);

}  // namespace anvilloom

#endif  // WIRE_CHAT_CODEC_H_
