#include "standins/model_engine.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "common/hash.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace json = boost::json;

constexpr std::string_view kJsonType = "application/json";
constexpr std::uint32_t kDefaultTokens = 64;
constexpr std::uint32_t kBytesPerToken = 4;

constexpr std::array<std::string_view, 16> kWords = {
    "the ", "artist ", "is ",   "free ",  "on ",    "that ",   "date ", "and ",
    "the ", "axle ",   "load ", "stays ", "under ", "limits ", "for ",  "it. "};

}  // namespace

std::string EngineToken(std::string_view messages, std::uint32_t index) {
  const std::uint64_t hash = Hash64(messages, index);
  return std::string(kWords[hash % kWords.size()]);
}

// One answer being generated.
struct model_engine::generation {
  std::string request_id;
  std::string messages;
  std::uint32_t max_tokens = kDefaultTokens;
  std::uint32_t first_index = 0;
};

model_engine::model_engine(engine_behaviour behaviour)
    : behaviour_(std::move(behaviour)) {}

awaitable<void> model_engine::Handle(http_exchange& exchange,
                                     std::size_t /*thread*/) {
  if (exchange.path() == "/v1/chat/completions") {
    co_await Complete(exchange);
  } else if (exchange.path() == "/load") {
    co_await ReportLoad(exchange);
  }
}

awaitable<void> model_engine::ReportLoad(http_exchange& exchange) {
  const json::value report = {
      {"running", running_.load(std::memory_order_relaxed)},
      {"waiting", 0},
      {"cache_permille", 0},
      {"version", behaviour_.version}};
  co_await exchange.Respond(http_status::ok, kJsonType,
                            json::serialize(report));
}

awaitable<void> model_engine::Complete(http_exchange& exchange) {
  const auto parsed = ParseJson(exchange.request().body());
  const json::value* messages =
      parsed ? FindMember(*parsed, "messages") : nullptr;
  if (messages == nullptr) {
    co_await exchange.Respond(http_status::bad_request, kJsonType, "{}");
    co_return;
  }
  generation work;
  work.request_id = StringMember(*parsed, "request_id").value_or("");
  work.messages = json::serialize(*messages);
  work.max_tokens = static_cast<std::uint32_t>(
      UnsignedMember(*parsed, "max_tokens").value_or(kDefaultTokens));
  work.first_index = static_cast<std::uint32_t>(
      UnsignedMember(*parsed, "resume_tokens").value_or(0));
  running_.fetch_add(1, std::memory_order_relaxed);
  co_await Generate(exchange, work);
  running_.fetch_sub(1, std::memory_order_relaxed);
}

awaitable<void> model_engine::Generate(http_exchange& exchange,
                                       const generation& work) {
  net::steady_timer timer(co_await net::this_coro::executor);
  if (!co_await exchange.BeginStream(http_status::ok, "text/event-stream")) {
    co_return;
  }
  const std::string head =
      R"({"id":)" + json::serialize(json::string(work.request_id)) +
      R"(,"object":"chat.completion.chunk","system_fingerprint":)" +
      json::serialize(json::string(behaviour_.version));
  auto due = std::chrono::steady_clock::now() + behaviour_.first_token_delay;
  for (std::uint32_t i = work.first_index; i < work.max_tokens; ++i) {
    timer.expires_at(due);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    due += behaviour_.token_interval;
    const std::string event =
        "data: " + head + R"(,"token_index":)" + std::to_string(i) +
        R"(,"choices":[{"index":0,"delta":{"content":")" +
        EngineToken(work.messages, i) + "\"},\"finish_reason\":null}]}\n\n";
    if (!co_await exchange.WriteChunk(event)) {
      co_return;
    }
  }
  const auto prompt_tokens =
      static_cast<std::uint32_t>(work.messages.size()) / kBytesPerToken + 1;
  const std::string tail =
      "data: " + head +
      R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":)"
      R"({"prompt_tokens":)" +
      std::to_string(prompt_tokens) + R"(,"completion_tokens":)" +
      std::to_string(work.max_tokens) + R"(,"prefilled_tokens":)" +
      std::to_string(prompt_tokens + work.first_index) +
      "}}\n\ndata: [DONE]\n\n";
  if (co_await exchange.WriteChunk(tail)) {
    co_await exchange.EndStream();
  }
}

}  // namespace anvilloom
