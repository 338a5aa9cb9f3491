#include "standins/model_engine.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "wire/json_text.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace json = boost::json;

constexpr std::string_view kJsonType = "application/json";
constexpr std::uint32_t kDefaultTokens = 64;
// Token of another request's response; differs from every generated token.
constexpr std::string_view kOtherRequestToken = "foreign ";
// Size of the KV cache for one token.
constexpr std::uint64_t kKvBytesPerToken = std::uint64_t{128} * 1024;

constexpr std::array<std::string_view, 16> kWords = {
    "the ", "artist ", "is ",   "free ",  "on ",    "that ",   "date ", "and ",
    "the ", "axle ",   "load ", "stays ", "under ", "limits ", "for ",  "it. "};

std::uint32_t PriorityRank(std::string_view name) {
  if (name == "interactive") {
    return 0;
  }
  return name == "batch" ? 2 : 1;
}

// Whether the fault is `action` and applies at token `index`.
bool AppliesAt(const std::optional<fault_rule>& fault,
               fault_action action,
               std::uint32_t index) {
  return fault && fault->action == action && fault->after == index;
}

std::string ChunkPrefix(std::string_view request_id, std::string_view version) {
  return R"({"id":)" + json::serialize(json::string(request_id)) +
         R"(,"object":"chat.completion.chunk","system_fingerprint":)" +
         json::serialize(json::string(version));
}

}  // namespace

std::string EngineToken(std::string_view messages, std::uint32_t index) {
  const std::uint64_t hash = Hash64(messages, index);
  return std::string(kWords[hash % kWords.size()]);
}

// State of a response that is being generated.
struct model_engine::generation {
  std::string request_id;
  std::string messages;
  std::string cache_handle;
  std::uint32_t max_tokens = kDefaultTokens;
  std::uint32_t first_index = 0;
  // Index of the next token.
  std::uint32_t next_index = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t prefilled = 0;
  bool cancelled = false;
  // Tokens of the prompt and of the response so far.
  std::vector<std::uint64_t> tokens;
};

model_engine::model_engine(engine_options behaviour)
    : behaviour_(std::move(behaviour)),
      slots_(behaviour_.slots),
      cache_(behaviour_.cache_tokens),
      load_(behaviour_.load_lag),
      orders_(behaviour_.checks_fencing) {}

awaitable<void> model_engine::Handle(http_exchange& exchange,
                                     std::size_t /*thread*/) {
  if (co_await faults_.HandleControl(exchange)) {
    co_return;
  }
  const std::string_view path = exchange.path();
  if (path == "/v1/chat/completions") {
    co_await Complete(exchange);
  } else if (path == "/load") {
    co_await ReportLoad(exchange);
  } else if (path == "/kv/export") {
    co_await Export(exchange);
  } else if (path == "/kv/import") {
    co_await Import(exchange);
  } else if (path == "/cancel") {
    co_await Cancel(exchange);
  } else if (path == "/orders") {
    co_await HandleOrder(exchange);
  } else if (path == "/version") {
    co_await UpdateVersion(exchange);
  } else if (path == "/leave") {
    leaving_ = true;
    co_await exchange.Respond(http_status::ok, kJsonType, "{}");
  } else if (path == "/seen") {
    co_await exchange.Respond(http_status::ok, kJsonType,
                              R"({"requests":)" + std::to_string(requests_) +
                                  R"(,"duplicate_ids":)" +
                                  std::to_string(duplicate_ids_) + "}");
  }
}

void model_engine::RecordLoad() {
  load_.Record({slots_.running(), slots_.waiting(), cache_.permille()});
}

awaitable<void> model_engine::ReportLoad(http_exchange& exchange) {
  const load_report load = load_.LaggedLoad();
  json::object report = {{"running", load.running},
                         {"waiting", load.waiting},
                         {"cache_permille", load.cache_permille},
                         {"version", behaviour_.version}};
  if (!behaviour_.model.empty()) {
    report["model"] = behaviour_.model;
    report["loading"] = std::chrono::steady_clock::now() < loaded_at_;
  }
  co_await exchange.Respond(http_status::ok, kJsonType,
                            json::serialize(report));
}

awaitable<void> model_engine::Export(http_exchange& exchange) {
  const auto fault = faults_.Take(exchange);
  if (fault) {
    co_await AwaitFaultDelay(*fault);
  }
  const auto parsed = ParseJson(exchange.request().body());
  const auto id = parsed ? StringMember(*parsed, "request_id") : std::nullopt;
  const auto found = id ? running_.find(*id) : running_.end();
  if (found == running_.end() ||
      (fault && fault->action == fault_action::kRefuse)) {
    co_await exchange.Respond(http_status::not_found, kJsonType, "{}");
    co_return;
  }
  const generation& work = *found->second;
  const auto tokens = static_cast<std::uint32_t>(work.tokens.size());
  const kv_description exported = {work.request_id, behaviour_.version,
                                   Hash64(work.messages), tokens,
                                   tokens * kKvBytesPerToken};
  co_await exchange.Respond(http_status::ok, kJsonType, EncodeKv(exported));
}

awaitable<void> model_engine::Import(http_exchange& exchange) {
  const auto fault = faults_.Take(exchange);
  if (fault) {
    co_await AwaitFaultDelay(*fault);
  }
  auto imported = DecodeKv(exchange.request().body());
  if (!imported || imported->version != behaviour_.version ||
      (fault && fault->action == fault_action::kRefuse)) {
    co_await exchange.Respond(http_status::conflict, kJsonType, "{}");
    co_return;
  }
  co_await Pause(behaviour_.import_per_token * imported->tokens);
  imports_.Import(std::move(*imported));
  co_await exchange.Respond(http_status::ok, kJsonType, "{}");
}

awaitable<void> model_engine::Cancel(http_exchange& exchange) {
  const auto parsed = ParseJson(exchange.request().body());
  const auto id = parsed ? StringMember(*parsed, "request_id") : std::nullopt;
  const auto found = id ? running_.find(*id) : running_.end();
  if (found == running_.end()) {
    co_await exchange.Respond(http_status::not_found, kJsonType, "{}");
    co_return;
  }
  found->second->cancelled = true;
  co_await exchange.Respond(http_status::ok, kJsonType, "{}");
}

awaitable<void> model_engine::HandleOrder(http_exchange& exchange) {
  if (exchange.request().method() == boost::beast::http::verb::get) {
    co_await exchange.Respond(http_status::ok, kJsonType, orders_.Encode());
    co_return;
  }
  const auto parsed = ParseJson(exchange.request().body());
  const auto fencing =
      parsed ? UnsignedMember(*parsed, "fencing") : std::nullopt;
  if (!fencing) {
    co_await exchange.Respond(http_status::bad_request, kJsonType, "{}");
    co_return;
  }
  const bool accepted = orders_.Accept(exchange.request().body(), *fencing);
  const auto model = StringMember(*parsed, "model");
  if (accepted && model) {
    LoadModel(*model);
  }
  co_await exchange.Respond(accepted ? http_status::ok : http_status::conflict,
                            kJsonType, "{}");
}

void model_engine::LoadModel(std::string_view model) {
  if (model == behaviour_.model) {
    return;
  }
  behaviour_.model = model;
  loaded_at_ = std::chrono::steady_clock::now() + behaviour_.load_time;
  cache_.Clear();
  imports_.Clear();
}

awaitable<void> model_engine::UpdateVersion(http_exchange& exchange) {
  const auto parsed = ParseJson(exchange.request().body());
  if (parsed) {
    if (const auto version = StringMember(*parsed, "version")) {
      behaviour_.version = *version;
      cache_.Clear();
      imports_.Clear();
    }
    if (const auto interval = UnsignedMember(*parsed, "token_interval_us")) {
      behaviour_.token_interval = std::chrono::microseconds(*interval);
    }
  }
  co_await exchange.Respond(http_status::ok, kJsonType, "{}");
}

awaitable<void> model_engine::Complete(http_exchange& exchange) {
  ++requests_;
  if (leaving_) {
    const std::array<http_header, 1> headers = {{{"X-Leaving", "1"}}};
    co_await exchange.Respond(http_status::service_unavailable, kJsonType, "{}",
                              headers);
    co_return;
  }
  const auto fault = faults_.Take(exchange);
  if (fault && fault->action == fault_action::kRefuse) {
    co_await exchange.Respond(http_status::service_unavailable, kJsonType,
                              "{}");
    co_return;
  }
  if (fault && fault->action == fault_action::kDropBefore) {
    exchange.Abort();
    co_return;
  }
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
  work.cache_handle = StringMember(*parsed, "cache_handle").value_or("");
  work.max_tokens = static_cast<std::uint32_t>(
      UnsignedMember(*parsed, "max_tokens").value_or(kDefaultTokens));
  work.first_index = static_cast<std::uint32_t>(
      UnsignedMember(*parsed, "resume_tokens").value_or(0));
  work.tokens = PromptTokens(work.messages);
  work.prompt_tokens = static_cast<std::uint32_t>(work.tokens.size());
  std::string text;
  for (std::uint32_t i = 0; i < work.first_index; ++i) {
    const std::string token = EngineToken(work.messages, i);
    work.tokens.push_back(Hash64(token));
    text += token;
  }
  if (StringMember(*parsed, "resume_text").value_or("") != text) {
    co_await exchange.Respond(http_status::conflict, kJsonType, "{}");
    co_return;
  }
  if (!co_await exchange.BeginStream(http_status::ok, "text/event-stream")) {
    co_return;
  }
  co_await slots_.Acquire(
      PriorityRank(StringMember(*parsed, "priority").value_or("normal")));
  const bool first = running_.insert_or_assign(work.request_id, &work).second;
  duplicate_ids_ += first ? 0 : 1;
  RecordLoad();
  co_await Generate(exchange, work, fault);
  running_.erase(work.request_id);
  cache_.Insert(work.tokens);
  slots_.Release();
  RecordLoad();
}

std::uint32_t model_engine::Prefill(generation& work) {
  const auto cached = static_cast<std::uint32_t>(cache_.Match(work.tokens));
  const std::uint32_t imported =
      imports_.Consume(work.cache_handle, Hash64(work.messages));
  cache_.Insert(work.tokens);
  const auto total = static_cast<std::uint32_t>(work.tokens.size());
  return total - std::min(total, std::max(cached, imported));
}

std::chrono::microseconds model_engine::TokenInterval() const {
  const std::uint32_t others = slots_.running() - 1;
  return behaviour_.token_interval + behaviour_.token_interval * others *
                                         behaviour_.batch_slowdown_permille /
                                         1000;
}

awaitable<void> model_engine::Generate(http_exchange& exchange,
                                       generation& work,
                                       const std::optional<fault_rule>& fault) {
  work.prefilled = Prefill(work);
  net::steady_timer timer(co_await net::this_coro::executor);
  auto due = std::chrono::steady_clock::now() + behaviour_.first_token_delay +
             behaviour_.prefill_per_token * work.prefilled;
  for (std::uint32_t i = work.first_index; i < work.max_tokens; ++i) {
    timer.expires_at(due);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    due += TokenInterval();
    if (work.cancelled) {
      exchange.Abort();
      co_return;
    }
    if (!co_await SendToken(exchange, work, i, fault)) {
      co_return;
    }
    work.tokens.push_back(Hash64(EngineToken(work.messages, i)));
  }
  if (AppliesAt(fault, fault_action::kTruncate, work.max_tokens)) {
    exchange.Abort();
    co_return;
  }
  if (AppliesAt(fault, fault_action::kHang, work.max_tokens)) {
    co_await AwaitFaultDelay(*fault);
    exchange.Abort();
    co_return;
  }
  if (AppliesAt(fault, fault_action::kMalformed, work.max_tokens)) {
    co_await exchange.WriteChunk("data: {\"id\":\n\n");
  }
  co_await SendFinishChunk(exchange, work);
}

awaitable<bool> model_engine::SendToken(
    http_exchange& exchange,
    const generation& work,
    std::uint32_t index,
    const std::optional<fault_rule>& fault) {
  if (AppliesAt(fault, fault_action::kTruncate, index)) {
    exchange.Abort();
    co_return false;
  }
  if (AppliesAt(fault, fault_action::kHang, index)) {
    co_await AwaitFaultDelay(*fault);
    exchange.Abort();
    co_return false;
  }
  if (AppliesAt(fault, fault_action::kDelay, index)) {
    co_await AwaitFaultDelay(*fault);
  }
  if (AppliesAt(fault, fault_action::kGap, index)) {
    co_return true;
  }
  if (AppliesAt(fault, fault_action::kMalformed, index)) {
    co_return co_await exchange.WriteChunk("data: {\"id\":\n\n");
  }
  const bool wrong_id =
      fault && fault->action == fault_action::kWrongId && index >= fault->after;
  const std::string event =
      "data: " +
      ChunkPrefix(wrong_id ? "another-request" : work.request_id,
                  behaviour_.version) +
      R"(,"token_index":)" + std::to_string(index) +
      R"(,"choices":[{"index":0,"delta":{"content":")" +
      (wrong_id ? std::string(kOtherRequestToken)
                : EngineToken(work.messages, index)) +
      "\"},\"finish_reason\":null}]}\n\n";
  if (AppliesAt(fault, fault_action::kDuplicate, index) &&
      !co_await exchange.WriteChunk(event)) {
    co_return false;
  }
  co_return co_await exchange.WriteChunk(event);
}

awaitable<void> model_engine::SendFinishChunk(http_exchange& exchange,
                                              const generation& work) {
  const std::string tail =
      "data: " + ChunkPrefix(work.request_id, behaviour_.version) +
      R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":)"
      R"({"prompt_tokens":)" +
      std::to_string(work.prompt_tokens) + R"(,"completion_tokens":)" +
      std::to_string(work.max_tokens) + R"(,"prefilled_tokens":)" +
      std::to_string(work.prefilled) + "}}\n\ndata: [DONE]\n\n";
  if (co_await exchange.WriteChunk(tail)) {
    co_await exchange.EndStream();
  }
}

}  // namespace anvilloom
