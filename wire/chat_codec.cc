#include "wire/chat_codec.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <utility>

#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::uint32_t kBytesPerToken = 4;
// Upper bound of "max_tokens" in a request.
constexpr std::uint64_t kMaxAnswerTokens = 32'768;
// A longer value of a member is no number, and is not parsed.
constexpr std::size_t kMaxNumberBytes = 32;

std::string_view EnginePriority(priority request_priority) {
  switch (request_priority) {
    case priority::kInteractive:
      return "interactive";
    case priority::kNormal:
      return "normal";
    case priority::kBatch:
      return "batch";
  }
  return "normal";
}

void AppendNumber(std::string& out, std::uint32_t number) {
  char digits[16];
  const auto [end, error] =
      std::to_chars(digits, digits + sizeof(digits), number);
  out.append(digits, end);
}

void AppendQuoted(std::string& out, std::string_view text) {
  constexpr unsigned char kLastControlCharacter = 0x1f;
  bool escape_free = true;
  for (const char c : text) {
    escape_free = escape_free && c != '"' && c != '\\' &&
                  static_cast<unsigned char>(c) > kLastControlCharacter;
  }
  if (escape_free) {
    out += '"';
    out += text;
    out += '"';
    return;
  }
  out += json::serialize(json::value(json::string(text)));
}

void AppendEventPrefix(std::string& out,
                       std::string_view stream_id,
                       std::uint32_t index) {
  out += "id: ";
  out += stream_id;
  out += ':';
  AppendNumber(out, index);
  out += "\ndata: ";
}

void AppendChunkPrefix(std::string& out, const completion_identity& identity) {
  out += R"({"id":)";
  AppendQuoted(out, identity.request_id);
  out += R"(,"object":"chat.completion.chunk","model":)";
  AppendQuoted(out, identity.service);
  out += R"(,"system_fingerprint":)";
  AppendQuoted(out, identity.model_version);
}

void AppendUsage(std::string& out,
                 std::uint32_t prompt_tokens,
                 std::uint32_t tokens) {
  out += R"(,"usage":{"prompt_tokens":)";
  AppendNumber(out, prompt_tokens);
  out += R"(,"completion_tokens":)";
  AppendNumber(out, tokens);
  out += R"(,"total_tokens":)";
  AppendNumber(out, prompt_tokens + tokens);
  out += '}';
}

std::optional<std::uint32_t> ToUint32(std::optional<std::uint64_t> wide) {
  if (!wide || *wide > UINT32_MAX) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(*wide);
}

// Returns the first element of "choices", or null.
const json::value* FirstChoice(const json::value& chunk) {
  const json::value* choices = FindMember(chunk, "choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty()) {
    return nullptr;
  }
  return &choices->get_array().front();
}

}  // namespace

std::string_view ErrorMessage(chat_fault fault) {
  switch (fault) {
    case chat_fault::kNotJson:
      return "The body is not a JSON object.";
    case chat_fault::kMissingModel:
      return "The key \"model\" must be a string that names a service.";
    case chat_fault::kMissingMessages:
      return "The key \"messages\" must be a non-empty array of messages.";
    case chat_fault::kBadMaxTokens:
      return "The key \"max_tokens\" must be a whole number from 1 to 32768.";
  }
  return "The body is malformed.";
}

leaf::result<chat_request> DecodeChatRequest(std::string_view body) {
  const std::size_t begin = body.find_first_not_of(" \t\r\n");
  if (!IsValidJson(body) || body[begin] != '{') {
    return leaf::new_error(chat_fault::kNotJson);
  }
  chat_request request;
  request.service = StringBytes(FindRawMember(body, "model")).value_or("");
  if (request.service.empty()) {
    return leaf::new_error(chat_fault::kMissingModel);
  }
  const std::string_view messages = FindRawMember(body, "messages");
  if (!messages.starts_with('[')) {
    return leaf::new_error(chat_fault::kMissingMessages);
  }
  request.messages = CompactJson(messages);
  if (request.messages == "[]") {
    return leaf::new_error(chat_fault::kMissingMessages);
  }
  request.stream = FindRawMember(body, "stream") == "true";
  const std::string_view max_tokens = FindRawMember(body, "max_tokens");
  if (!max_tokens.empty()) {
    const auto tokens = max_tokens.size() <= kMaxNumberBytes
                            ? ParseUnsigned(max_tokens)
                            : std::nullopt;
    if (!tokens || *tokens == 0 || *tokens > kMaxAnswerTokens) {
      return leaf::new_error(chat_fault::kBadMaxTokens);
    }
    request.max_tokens = static_cast<std::uint32_t>(*tokens);
  }
  return request;
}

std::uint32_t EstimatePromptTokens(const chat_request& request) {
  return static_cast<std::uint32_t>(request.messages.size()) / kBytesPerToken +
         1;
}

std::string EncodeEngineRequest(const chat_request& request,
                                std::string_view model,
                                std::string_view request_id,
                                priority request_priority,
                                const resume_point& resume) {
  std::string out = R"({"model":)";
  AppendQuoted(out, model);
  out += R"(,"request_id":)";
  AppendQuoted(out, request_id);
  out += R"(,"stream":true,"priority":)";
  AppendQuoted(out, EnginePriority(request_priority));
  out += R"(,"max_tokens":)";
  AppendNumber(out, request.max_tokens);
  if (resume.tokens > 0) {
    out += R"(,"resume_tokens":)";
    AppendNumber(out, resume.tokens);
    out += R"(,"resume_text":)";
    AppendQuoted(out, resume.text);
  }
  if (!resume.cache_handle.empty()) {
    out += R"(,"cache_handle":)";
    AppendQuoted(out, resume.cache_handle);
  }
  out += R"(,"messages":)";
  out += request.messages;
  out += '}';
  return out;
}

std::optional<answer_chunk> chunk_decoder::Decode(std::string_view data) {
  auto parsed = ParseJson(data);
  if (!parsed) {
    return std::nullopt;
  }
  parsed_ = std::move(*parsed);
  const auto id = StringMember(parsed_, "id");
  const json::value* choice = FirstChoice(parsed_);
  if (!id || choice == nullptr) {
    return std::nullopt;
  }
  answer_chunk chunk;
  chunk.request_id = *id;
  chunk.model_version =
      StringMember(parsed_, "system_fingerprint").value_or("");
  chunk.token_index = ToUint32(UnsignedMember(parsed_, "token_index"));
  if (const json::value* delta = FindMember(*choice, "delta")) {
    chunk.text = StringMember(*delta, "content").value_or("");
  }
  chunk.finished = StringMember(*choice, "finish_reason").has_value();
  if (const json::value* usage = FindMember(parsed_, "usage")) {
    chunk.reported_tokens =
        ToUint32(UnsignedMember(*usage, "completion_tokens"));
    chunk.prefilled_tokens =
        ToUint32(UnsignedMember(*usage, "prefilled_tokens"));
  }
  return chunk;
}

void AppendTokenEvent(std::string& out,
                      std::string_view stream_id,
                      const completion_identity& identity,
                      std::uint32_t index,
                      std::string_view text) {
  AppendEventPrefix(out, stream_id, index);
  AppendChunkPrefix(out, identity);
  out += R"(,"choices":[{"index":0,"delta":{"content":)";
  AppendQuoted(out, text);
  out += "},\"finish_reason\":null}]}\n\n";
}

void AppendFinishEvents(std::string& out,
                        std::string_view stream_id,
                        const completion_identity& identity,
                        std::uint32_t prompt_tokens,
                        std::uint32_t tokens) {
  AppendEventPrefix(out, stream_id, tokens);
  AppendChunkPrefix(out, identity);
  out += R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}])";
  AppendUsage(out, prompt_tokens, tokens);
  out += "}\n\ndata: [DONE]\n\n";
}

std::string EncodeCompletion(const completion_identity& identity,
                             std::string_view text,
                             std::uint32_t prompt_tokens,
                             std::uint32_t tokens) {
  std::string out = R"({"id":)";
  AppendQuoted(out, identity.request_id);
  out += R"(,"object":"chat.completion","model":)";
  AppendQuoted(out, identity.service);
  out += R"(,"system_fingerprint":)";
  AppendQuoted(out, identity.model_version);
  out += R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)";
  AppendQuoted(out, text);
  out += R"(},"finish_reason":"stop"}])";
  AppendUsage(out, prompt_tokens, tokens);
  out += '}';
  return out;
}

}  // namespace anvilloom
